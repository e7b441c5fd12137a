//! How an entry host carries out calls about jobs, and calls of its peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use super::core::{Home, LogResult, Token};
use super::node::Node;
use crate::ids::{HostId, JobId, ShardId, mix, stable_hash};
use crate::jobs::{Account, Change, JobRecord, JobSpec, JobView, PendingMove, Submission, Wall};
use crate::kind::{ErrorKind, Refusal};
use crate::ownership::PeerMessage;
use crate::peers::{CallFailure, Handler, PeerAnswer, PeerCall, ServeCall};

/// How long a submitter waits for the log.
const LOG_WAIT: Duration = Duration::from_secs(10);
/// How often a keyed submission follows a log to another shard.
const MOST_REDIRECTS: usize = 4;
/// How many shards an unkeyed submission is offered to.
const SHARDS_TRIED: usize = 4;

impl Node {
    /// Accepts a job. With a key the submission can be repeated and is
    /// accepted once; without one any shard with room may take it.
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

    /// A repeat meets the same shard: the key's home, or the shard that the
    /// home's log names.
    async fn submit_keyed(
        self: &Arc<Self>,
        team: &str,
        key: &str,
        spec: &JobSpec,
    ) -> Result<JobId, Refusal> {
        let number = stable_hash(format!("{team}\n{key}").as_bytes());
        let home = self.look(|core, _| Ok(core.configuration()?.home_shard(number)))?;
        let mut shard = home.ok_or_else(no_shard)?;
        for _ in 0..MOST_REDIRECTS {
            let record = self.record(JobId { shard, number }, team, spec)?;
            match self.submit_record(record).await? {
                Taken::Here(id) => return Ok(id),
                Taken::Elsewhere(to) => shard = to,
            }
        }
        let message = "no shard keeps a worker that holds the job";
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
            let record = self.record(JobId { shard, number }, team, spec)?;
            match self.submit_record(record).await {
                Ok(Taken::Here(id)) => return Ok(id),
                Ok(Taken::Elsewhere(_)) => {}
                Err(refusal) if may_try_next(refusal.kind) => last = refusal,
                Err(refusal) => return Err(refusal),
            }
        }
        Err(last)
    }

    fn record(&self, id: JobId, team: &str, spec: &JobSpec) -> Result<JobRecord, Refusal> {
        self.look(|core, _| {
            let configuration = core.configuration()?;
            let class = configuration.class(&spec.class).ok_or_else(|| {
                let message = format!("class = {:?} is not configured", spec.class);
                Refusal::new(ErrorKind::UnknownClass, message)
            })?;
            Ok(spec.record(id, team, class, Wall::now()))
        })
    }

    /// The shards that a submission is offered to, those of this zone first.
    fn candidates(&self, hash: u64, team: &str, spec: &JobSpec) -> Result<Vec<ShardId>, Refusal> {
        let nowhere = JobId {
            shard: ShardId(0),
            number: hash,
        };
        let size = self.record(nowhere, team, spec)?.size;
        self.look(|core, now| {
            let configuration = core.configuration()?;
            let mut shards = core.holders(size);
            if shards.is_empty() {
                let message = "no listed worker holds a task of this size";
                return Err(Refusal::new(ErrorKind::FitsNoWorker, message));
            }
            let near = configuration.shards(&self.settings.zone);
            shards.sort_by_key(|shard| {
                let reachable = core.home(*shard, now) != Home::Nowhere;
                let order = mix(hash ^ u64::from(shard.0));
                (!reachable, !near.contains(shard), order)
            });
            shards.truncate(SHARDS_TRIED);
            Ok(shards)
        })
    }

    async fn submit_record(self: &Arc<Self>, record: JobRecord) -> Result<Taken, Refusal> {
        let shard = record.id.shard;
        match self.look(|core, now| core.home(shard, now)) {
            Home::Here => self.submit_here(record).await,
            Home::Peer(host) => {
                let call = PeerCall::Submit(record);
                match self.links.call(host, call, LOG_WAIT).await {
                    Ok(PeerAnswer::Accepted(id)) => Ok(Taken::Here(id)),
                    Ok(PeerAnswer::Redirected(to)) => Ok(Taken::Elsewhere(to)),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) | Err(CallFailure::Lost) => Err(CallFailure::Lost.refusal()),
                    Err(CallFailure::NotSent) => Err(CallFailure::NotSent.refusal()),
                }
            }
            Home::Nowhere => Err(nowhere(shard)),
        }
    }

    /// Submits moved tasks to their new shard.
    pub(super) async fn submit_move(self: &Arc<Self>, from: ShardId, pending: PendingMove) {
        let to = pending.to;
        match self.submit_record(pending.record).await {
            Ok(Taken::Here(_)) => self.decide(|core, now| core.move_accepted(from, to, now)),
            Ok(Taken::Elsewhere(shard)) => {
                self.decide(|core, _| core.move_redirected(from, to, shard));
            }
            Err(refusal) => log::warn!("moved tasks {to} wait: {}", refusal.message),
        }
    }

    async fn submit_here(&self, record: JobRecord) -> Result<Taken, Refusal> {
        let id = record.id;
        let token = Token::Job(id);
        let (submission, logged) = self.decide(|core, now| {
            let logged = self.expect_logged(token);
            (core.submit(record, now, Wall::now()), logged)
        });
        let taken = match submission {
            Submission::Known => return Ok(Taken::Here(id)),
            Submission::Redirected(to) => return Ok(Taken::Elsewhere(to)),
            Submission::Refused(refusal) => return Err(refusal),
            Submission::Log(Change::Redirected { to, .. }) => Taken::Elsewhere(to),
            Submission::Log(_) | Submission::Pending => Taken::Here(id),
        };
        self.wait_logged(logged).await?;
        Ok(taken)
    }

    async fn wait_logged(
        &self,
        logged: tokio::sync::oneshot::Receiver<LogResult>,
    ) -> Result<(), Refusal> {
        match timeout(LOG_WAIT, logged).await {
            Ok(Ok(LogResult::Logged)) => Ok(()),
            Ok(Ok(LogResult::NotLogged)) => Err(Refusal::new(
                ErrorKind::OwnerUnavailable,
                "the shard changed hands before the job was logged",
            )),
            Ok(Ok(LogResult::Unknown) | Err(_)) | Err(_) => Err(Refusal::new(
                ErrorKind::AnswerLost,
                "the log did not confirm the change; look the job up or repeat it with its key",
            )),
        }
    }

    /// Cancels a job, wherever it is, and the jobs that took tasks of it.
    pub(crate) async fn cancel(self: &Arc<Self>, job: JobId) -> Result<(), Refusal> {
        let mut open = vec![job];
        while let Some(next) = open.pop() {
            self.cancel_one(next).await?;
            let moved = self.job(next).await?.moved_to;
            open.extend(moved.iter().filter_map(|id| id.parse::<JobId>().ok()));
        }
        Ok(())
    }

    async fn cancel_one(self: &Arc<Self>, job: JobId) -> Result<(), Refusal> {
        match self.look(|core, now| core.home(job.shard, now)) {
            Home::Here => self.cancel_here(job).await,
            Home::Peer(host) => {
                match self.links.call(host, PeerCall::Cancel(job), LOG_WAIT).await {
                    Ok(PeerAnswer::Cancelled) => Ok(()),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) | Err(CallFailure::Lost) => Err(CallFailure::Lost.refusal()),
                    Err(CallFailure::NotSent) => Err(CallFailure::NotSent.refusal()),
                }
            }
            Home::Nowhere => Err(nowhere(job.shard)),
        }
    }

    async fn cancel_here(&self, job: JobId) -> Result<(), Refusal> {
        let (begun, logged) = self.decide(|core, now| {
            let logged = self.expect_logged(Token::Cancel(job));
            (core.cancel(job, now), logged)
        });
        begun?;
        self.wait_logged(logged).await
    }

    /// Looks up a job, wherever it is.
    pub(crate) async fn job(&self, job: JobId) -> Result<JobView, Refusal> {
        match self.look(|core, now| core.home(job.shard, now)) {
            Home::Here => self.job_here(job),
            Home::Peer(host) => {
                let patience = self.settings.timing.call_timeout;
                match self.links.call(host, PeerCall::Job(job), patience).await {
                    Ok(PeerAnswer::Job(view)) => Ok(view),
                    Ok(PeerAnswer::Refused(refusal)) => Err(refusal),
                    Ok(_) | Err(_) => Err(nowhere(job.shard)),
                }
            }
            Home::Nowhere => Err(nowhere(job.shard)),
        }
    }

    fn job_here(&self, job: JobId) -> Result<JobView, Refusal> {
        self.look(|core, now| core.job(job, now, Wall::now()))
    }

    /// The account of all shards that can be reached.
    pub(crate) async fn account(&self) -> Account {
        let mut account = self.look(|core, now| core.account(now, Wall::now()));
        let patience = self.settings.timing.call_timeout;
        for host in self.links.connected() {
            let answer = self.links.call(host, PeerCall::Account, patience).await;
            if let Ok(PeerAnswer::Account(part)) = answer {
                account.merge(part);
            }
        }
        account
    }

    async fn answer_peer(self: Arc<Self>, call: PeerCall) -> PeerAnswer {
        match call {
            PeerCall::Serve(call) => self.serve_peer(call).await,
            PeerCall::Submit(record) => match self.submit_here(record).await {
                Ok(Taken::Here(id)) => PeerAnswer::Accepted(id),
                Ok(Taken::Elsewhere(to)) => PeerAnswer::Redirected(to),
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
                PeerAnswer::Account(self.look(|core, now| core.account(now, Wall::now())))
            }
            PeerCall::Configuration => match self.look(|core, _| core.configuration().cloned()) {
                Ok(configuration) => PeerAnswer::Configuration(Box::new(configuration)),
                Err(refusal) => PeerAnswer::Refused(refusal),
            },
        }
    }

    async fn serve_peer(self: &Arc<Self>, call: ServeCall) -> PeerAnswer {
        match self.serve(call).await {
            Ok(answer) => PeerAnswer::Served(answer),
            Err(refusal) => PeerAnswer::Refused(refusal),
        }
    }
}

impl Handler for Node {
    fn on_connected(&self, host: HostId, zone: &str) {
        self.decide(|core, now| core.ownership.on_connected(host, zone, now));
    }

    fn on_message(&self, from: HostId, message: PeerMessage) {
        self.decide(|core, now| core.on_peer(from, message, now));
    }

    async fn on_call(self: Arc<Self>, _from: HostId, call: PeerCall) -> PeerAnswer {
        self.answer_peer(call).await
    }
}

/// Which shard took a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taken {
    Here(JobId),
    Elsewhere(ShardId),
}

fn no_shard() -> Refusal {
    Refusal::new(ErrorKind::NotReady, "no shard is configured")
}

/// Whether another shard may take a job that this one refused.
const fn may_try_next(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::FitsNoWorker
            | ErrorKind::OwnerUnavailable
            | ErrorKind::DeadlineTooShort
            | ErrorKind::NoWorker
    )
}

fn nowhere(shard: ShardId) -> Refusal {
    let message = format!("no entry host that owns shard {shard} can be reached");
    Refusal::new(ErrorKind::OwnerUnavailable, message)
}
