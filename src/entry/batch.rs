//! Calls about jobs, from callers or peers: executed here or forwarded to the
//! owner of the job's shard.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::core::{LogResult, PendingChange, ShardOwner};
use super::node::Node;
use crate::ids::{HostId, JobId, ShardId, mix, stable_hash};
use crate::jobs::{
    Account, Change, JobRecord, JobSpec, JobView, PendingMove, SubmitStep, WallClock,
};
use crate::kind::{ErrorKind, Refusal};
use crate::ownership::PeerMessage;
use crate::peers::{CallAnswer, CallFailure, Handler, PeerAnswer, PeerCall, ServeCall};
use crate::server::BodyError;

/// Time limit for a change to be logged, here or by a peer.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of shards to which a keyed submission is sent while each one's log
/// redirects it to the next.
const MAX_REDIRECTS: usize = 4;
/// Number of shards that an unkeyed submission is offered to.
const MAX_OFFERS: usize = 4;

impl Node {
    /// Submits a job. With an idempotency key the submission can be repeated and
    /// is accepted once; without one, any shard with free capacity may accept it.
    pub(crate) async fn submit(
        self: &Arc<Self>,
        team: &str,
        key: Option<&str>,
        spec: &JobSpec,
    ) -> Result<JobId, Refusal> {
        spec.check()?;
        match key {
            Some(key) => self.submit_keyed(team, key, spec).await,
            None => self.submit_anywhere(team, spec).await,
        }
    }

    /// Submits a job to the home shard of its key, or to the shard that the home
    /// shard's log redirects to, so that a repeat reaches the same shard.
    async fn submit_keyed(
        self: &Arc<Self>,
        team: &str,
        key: &str,
        spec: &JobSpec,
    ) -> Result<JobId, Refusal> {
        let number = stable_hash(format!("{team}\n{key}").as_bytes());
        let home = self.read(|core, _| Ok(core.configuration()?.home_shard(number)))?;
        let mut shard = home.ok_or_else(no_shard)?;
        for _ in 0..MAX_REDIRECTS {
            let record = self.job_record(JobId { shard, number }, team, spec)?;
            match self.submit_record(record).await? {
                Submitted::Accepted(id) => return Ok(id),
                Submitted::Redirected(to) => shard = to,
            }
        }
        let message = "every shard that was tried redirected the job to another one";
        Err(Refusal::new(ErrorKind::FitsNoWorker, message))
    }

    async fn submit_anywhere(
        self: &Arc<Self>,
        team: &str,
        spec: &JobSpec,
    ) -> Result<JobId, Refusal> {
        let number: u64 = rand::random();
        let mut last = no_shard();
        for shard in self.candidates(number, team, spec)? {
            let record = self.job_record(JobId { shard, number }, team, spec)?;
            match self.submit_record(record).await {
                Ok(Submitted::Accepted(id)) => return Ok(id),
                Ok(Submitted::Redirected(_)) => {}
                Err(refusal) if may_try_next(refusal.kind) => last = refusal,
                Err(refusal) => return Err(refusal),
            }
        }
        Err(last)
    }

    fn job_record(&self, id: JobId, team: &str, spec: &JobSpec) -> Result<JobRecord, Refusal> {
        self.read(|core, _| {
            let configuration = core.configuration()?;
            let class = configuration.class(&spec.class).ok_or_else(|| {
                let message = format!("class = {:?} is not configured", spec.class);
                Refusal::new(ErrorKind::UnknownClass, message)
            })?;
            Ok(spec.record(id, team, class, WallClock::now()))
        })
    }

    /// Returns the shards that a submission is offered to, in this order:
    /// reachable ones first, among those the ones of this zone, then by a hash
    /// that spreads jobs over the shards.
    fn candidates(&self, hash: u64, team: &str, spec: &JobSpec) -> Result<Vec<ShardId>, Refusal> {
        let placeholder = JobId {
            shard: ShardId(0),
            number: hash,
        };
        let size = self.job_record(placeholder, team, spec)?.size;
        self.read(|core, now| {
            let configuration = core.configuration()?;
            let mut shards = core.fitting_shards(size);
            if shards.is_empty() {
                let message = "no listed worker is large enough for a task of this size";
                return Err(Refusal::new(ErrorKind::FitsNoWorker, message));
            }
            let local = configuration.shards(&self.settings.zone);
            shards.sort_by_key(|shard| {
                let reachable = core.shard_owner(*shard, now) != ShardOwner::Unreachable;
                let order = mix(hash ^ u64::from(shard.0));
                (!reachable, !local.contains(shard), order)
            });
            shards.truncate(MAX_OFFERS);
            Ok(shards)
        })
    }

    async fn submit_record(self: &Arc<Self>, record: JobRecord) -> Result<Submitted, Refusal> {
        let shard = record.id.shard;
        match self.read(|core, now| core.shard_owner(shard, now)) {
            // A host that may not act for the shard may still know the submission.
            ShardOwner::Local | ShardOwner::Unreachable => self.submit_here(record).await,
            ShardOwner::Peer(host) => {
                let call = PeerCall::Submit(record);
                match self.links.call(host, call, LOG_TIMEOUT).await {
                    Ok(PeerAnswer::Accepted(id)) => Ok(Submitted::Accepted(id)),
                    Ok(PeerAnswer::Redirected(to)) => Ok(Submitted::Redirected(to)),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) => Err(CallFailure::Lost.refusal()),
                    Err(failure) => Err(failure.refusal()),
                }
            }
        }
    }

    /// Submits moved tasks to their new shard.
    pub(super) async fn submit_move(self: &Arc<Self>, from: ShardId, pending: PendingMove) {
        let to = pending.to;
        match self.submit_record(pending.record).await {
            Ok(Submitted::Accepted(_)) => {
                self.decide(|core, now| core.move_accepted(from, to, now))
            }
            Ok(Submitted::Redirected(shard)) => {
                self.decide(|core, _| core.move_redirected(from, to, shard));
            }
            Err(refusal) => log::warn!(
                "cannot submit moved tasks as job {to} yet: {}",
                refusal.message
            ),
        }
    }

    async fn submit_here(&self, record: JobRecord) -> Result<Submitted, Refusal> {
        let id = record.id;
        let change = PendingChange::Job(id);
        let (submission, logged) = self.decide(|core, now| {
            let logged = self.expect_logged(change);
            (core.submit(record, now, WallClock::now()), logged)
        });
        let submitted = match submission {
            SubmitStep::Known => return Ok(Submitted::Accepted(id)),
            SubmitStep::Redirected(to) => return Ok(Submitted::Redirected(to)),
            SubmitStep::Refused(refusal) => return Err(refusal),
            SubmitStep::Log(Change::Redirected { to, .. }) => Submitted::Redirected(to),
            SubmitStep::Log(_) | SubmitStep::Pending => Submitted::Accepted(id),
        };
        self.wait_logged(logged).await?;
        Ok(submitted)
    }

    async fn wait_logged(
        &self,
        logged: tokio::sync::oneshot::Receiver<LogResult>,
    ) -> Result<(), Refusal> {
        match timeout(LOG_TIMEOUT, logged).await {
            Ok(Ok(LogResult::Logged)) => Ok(()),
            Ok(Ok(LogResult::NotLogged)) => Err(Refusal::new(
                ErrorKind::OwnerUnavailable,
                "the shard got another owner before the change was logged",
            )),
            Ok(Ok(LogResult::Unknown) | Err(_)) | Err(_) => Err(Refusal::new(
                ErrorKind::AnswerLost,
                "the log did not confirm the change; look the job up or repeat it with its key",
            )),
        }
    }

    /// Cancels a job on any shard, and the jobs that its tasks were moved to.
    pub(crate) async fn cancel(self: &Arc<Self>, job: JobId) -> Result<(), Refusal> {
        let mut pending = vec![job];
        while let Some(next) = pending.pop() {
            self.cancel_one(next).await?;
            let moved = self.job(next).await?.moved_to;
            pending.extend(moved.iter().filter_map(|id| id.parse::<JobId>().ok()));
        }
        Ok(())
    }

    async fn cancel_one(self: &Arc<Self>, job: JobId) -> Result<(), Refusal> {
        match self.read(|core, now| core.shard_owner(job.shard, now)) {
            ShardOwner::Local => self.cancel_here(job).await,
            ShardOwner::Peer(host) => {
                match self
                    .links
                    .call(host, PeerCall::Cancel(job), LOG_TIMEOUT)
                    .await
                {
                    Ok(PeerAnswer::Cancelled) => Ok(()),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) => Err(CallFailure::Lost.refusal()),
                    Err(failure) => Err(failure.refusal()),
                }
            }
            ShardOwner::Unreachable => Err(owner_unreachable(job.shard)),
        }
    }

    async fn cancel_here(&self, job: JobId) -> Result<(), Refusal> {
        let (cancelled, logged) = self.decide(|core, now| {
            let logged = self.expect_logged(PendingChange::Cancel(job));
            (core.cancel(job, now), logged)
        });
        cancelled?;
        self.wait_logged(logged).await
    }

    /// Returns the state of a job on any shard.
    pub(crate) async fn job(&self, job: JobId) -> Result<JobView, Refusal> {
        match self.read(|core, now| core.shard_owner(job.shard, now)) {
            ShardOwner::Local => self.job_here(job),
            ShardOwner::Peer(host) => {
                let call_timeout = self.settings.timing.call_timeout;
                match self
                    .links
                    .call(host, PeerCall::Job(job), call_timeout)
                    .await
                {
                    Ok(PeerAnswer::Job(view)) => Ok(view),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) | Err(_) => Err(owner_unreachable(job.shard)),
                }
            }
            ShardOwner::Unreachable => Err(owner_unreachable(job.shard)),
        }
    }

    fn job_here(&self, job: JobId) -> Result<JobView, Refusal> {
        self.read(|core, now| core.job(job, now, WallClock::now()))
    }

    /// Returns the account of all shards whose owners can be reached.
    pub(crate) async fn account(&self) -> Account {
        let mut account = self.read(|core, now| core.account(now, WallClock::now()));
        let call_timeout = self.settings.timing.call_timeout;
        for host in self.links.connected() {
            let answer = self.links.call(host, PeerCall::Account, call_timeout).await;
            if let Ok(PeerAnswer::Account(part)) = answer {
                account.merge(part);
            }
        }
        account
    }

    async fn answer_peer(self: Arc<Self>, call: PeerCall) -> CallAnswer {
        let answer = match call {
            PeerCall::Serve(call) => return self.serve_peer(call).await,
            PeerCall::Submit(record) => match self.submit_here(record).await {
                Ok(Submitted::Accepted(id)) => PeerAnswer::Accepted(id),
                Ok(Submitted::Redirected(to)) => PeerAnswer::Redirected(to),
                Err(refusal) => PeerAnswer::Refused(refusal),
            },
            PeerCall::Cancel(job) => match self.cancel_here(job).await {
                Ok(()) => PeerAnswer::Cancelled,
                Err(refusal) => PeerAnswer::Refused(refusal),
            },
            PeerCall::Job(job) => match self.job_here(job) {
                Ok(view) => PeerAnswer::Job(view),
                Err(refusal) => PeerAnswer::Refused(refusal),
            },
            PeerCall::Account => {
                PeerAnswer::Account(self.read(|core, now| core.account(now, WallClock::now())))
            }
            PeerCall::Configuration => match self.read(|core, _| core.configuration().cloned()) {
                Ok(configuration) => PeerAnswer::Configuration(Box::new(configuration)),
                Err(refusal) => PeerAnswer::Refused(refusal),
            },
        };
        answer.into()
    }

    /// Serves a request for a peer. The answer is charged until it is sent.
    async fn serve_peer(self: &Arc<Self>, call: ServeCall) -> CallAnswer {
        let charge = Arc::new(self.gate.charge());
        if !charge.grow(call.body.len() as u64) {
            return PeerAnswer::Refused(BodyError::NoBudget.refusal(String::new())).into();
        }
        match self.serve(call, charge.clone()).await {
            Ok(answer) if charge.resize(answer.body.len() as u64) => CallAnswer {
                answer: PeerAnswer::Served(answer),
                charge: Some(charge),
            },
            Ok(_) => PeerAnswer::Refused(no_memory_for_answer()).into(),
            Err(refusal) => PeerAnswer::Refused(refusal).into(),
        }
    }
}

impl Handler for Node {
    fn on_connected(&self, host: HostId, zone: &str) {
        self.decide(|core, now| core.ownership.on_connected(host, zone, now));
    }

    fn on_message(&self, from: HostId, message: PeerMessage) {
        self.decide(|core, now| core.on_peer_message(from, message, now));
    }

    async fn on_call(self: Arc<Self>, _from: HostId, call: PeerCall) -> CallAnswer {
        self.answer_peer(call).await
    }
}

/// Result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Submitted {
    /// The job was accepted under this id.
    Accepted(JobId),
    /// The job has to be submitted to this shard instead.
    Redirected(ShardId),
}

fn no_shard() -> Refusal {
    Refusal::new(ErrorKind::NotReady, "no shard is configured")
}

fn no_memory_for_answer() -> Refusal {
    let message = "the request ran; the requests in progress leave no memory for its answer";
    Refusal::new(ErrorKind::AnswerTooLarge, message)
}

/// Whether another shard may accept a job that one shard refused for this
/// reason.
const fn may_try_next(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::FitsNoWorker
            | ErrorKind::OwnerUnavailable
            | ErrorKind::DeadlineTooShort
            | ErrorKind::NoWorker
    )
}

fn owner_unreachable(shard: ShardId) -> Refusal {
    let message = format!("no entry host that owns shard {shard} can be reached");
    Refusal::new(ErrorKind::OwnerUnavailable, message)
}
