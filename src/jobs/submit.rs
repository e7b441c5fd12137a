//! Accepts, redirects or refuses submitted jobs.

use serde::{Deserialize, Serialize};

use super::WallClock;
use super::change::{Change, JobRecord};
use super::ledger::Ledger;
use crate::configuration::{Class, Size};
use crate::ids::{JobId, ShardId, stable_hash};
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;
use crate::placement::Placement;

/// The maximum number of tasks in one job.
const MAX_TASKS: u32 = 20_000;
/// The estimated snapshot size in bytes from which a shard refuses more jobs.
/// The store accepts values of up to a megabyte.
const MAX_SNAPSHOT_BYTES: usize = 600_000;
/// The maximum length of a payload, in bytes.
const MAX_PAYLOAD: usize = 4096;
/// The maximum time until a deadline and the maximum run time, in milliseconds.
const MAX_DURATION_MS: u64 = 366 * 24 * 3600 * 1000;

/// A job as the submitter describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The name of the job class.
    pub class: String,
    /// The number of tasks; 1 by default.
    #[serde(default = "one")]
    pub tasks: u32,
    /// The input that is passed to each task; empty by default.
    #[serde(default)]
    pub payload: String,
    /// The deadline in milliseconds from the submission; the deadline of the class if absent.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// The resources of a task; the size of the class if absent.
    #[serde(default)]
    pub size: Option<Size>,
    /// The run time of a task in milliseconds; the duration of the class if absent.
    #[serde(default)]
    pub duration_ms: Option<u64>,
}

const fn one() -> u32 {
    1
}

impl JobSpec {
    /// Checks that every field is within its bounds.
    ///
    /// # Errors
    ///
    /// Returns a refusal that contains the field and its value.
    ///
    /// ```
    /// use lycheelock::jobs::JobSpec;
    ///
    /// let spec: JobSpec = serde_json::from_str(r#"{"class":"review","tasks":0}"#).unwrap();
    /// assert!(spec.check().unwrap_err().message.contains("tasks"));
    /// ```
    pub fn check(&self) -> Result<(), Refusal> {
        let invalid = |message: String| Err(Refusal::new(ErrorKind::BadRequest, message));
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return invalid(format!("tasks = {}: give 1 to {MAX_TASKS}", self.tasks));
        }
        if self.payload.len() > MAX_PAYLOAD {
            let length = self.payload.len();
            return invalid(format!(
                "payload of {length} bytes: give at most {MAX_PAYLOAD}"
            ));
        }
        let spans = [
            ("deadline_ms", self.deadline_ms),
            ("duration_ms", self.duration_ms),
        ];
        for (name, span) in spans {
            if span.is_some_and(|span| span == 0 || span > MAX_DURATION_MS) {
                let span = span.unwrap_or_default();
                return invalid(format!("{name} = {span}: give 1 to {MAX_DURATION_MS}"));
            }
        }
        Ok(())
    }

    fn digest(&self, team: &str) -> u64 {
        let text = serde_json::to_string(self).expect("plain values have a JSON form");
        stable_hash(format!("{team}\n{text}").as_bytes())
    }

    /// Returns the record of this job, with defaults from its class.
    pub fn record(&self, id: JobId, team: &str, class: &Class, now: WallClock) -> JobRecord {
        let deadline = class.deadline.as_millis() as u64;
        JobRecord {
            id,
            digest: self.digest(team),
            team: team.to_owned(),
            class: class.name.clone(),
            tasks: self.tasks,
            payload: self.payload.clone(),
            checkpoints: Vec::new(),
            submitted: now,
            deadline: now.plus(self.deadline_ms.unwrap_or(deadline)),
            duration: self
                .duration_ms
                .unwrap_or(class.duration.as_millis() as u64),
            size: self.size.unwrap_or(class.size),
            checkpointable: class.checkpointable,
            idempotent: class.idempotent,
            urgent: class.urgent,
            overnight: class.overnight,
            attempts: class.attempts,
        }
    }
}

/// What to do with a submitted job.
#[derive(Debug, Clone, PartialEq)]
pub enum SubmitStep {
    /// Log this change. The job is accepted or redirected once it is logged.
    Log(Change),
    /// The same submission has already been accepted.
    Known,
    /// The job was redirected to this shard, where it has to be submitted.
    Redirected(ShardId),
    /// The same submission is being logged.
    Pending,
    /// The submission is refused.
    Refused(Refusal),
}

impl Ledger {
    /// Decides whether a submitted job is accepted, redirected or refused. `other`
    /// is a shard for the job if no worker of this one is large enough. The choice
    /// is logged, so that a repeated submission is redirected to the same shard, also
    /// while the choice is being logged.
    pub fn submit(
        &mut self,
        record: JobRecord,
        placement: &Placement,
        other: Option<ShardId>,
        now: Moment,
        wall: WallClock,
    ) -> SubmitStep {
        let refuse = |kind, message: String| SubmitStep::Refused(Refusal::new(kind, message));
        if let Some(step) = self.repeated_submission(&record, wall) {
            return step;
        }
        if self.estimated_bytes() >= MAX_SNAPSHOT_BYTES {
            let message = format!(
                "shard {} has reached its size limit of jobs and keys",
                self.shard()
            );
            return refuse(ErrorKind::Overloaded, message);
        }
        if !placement.could_hold(self.shard(), record.size) {
            if let Some(to) = other.filter(|to| *to != self.shard()) {
                let job = record.id;
                let at = wall;
                self.pending_redirects.insert(job, to);
                return SubmitStep::Log(Change::Redirected { job, to, at });
            }
            let size = record.size;
            let message = format!(
                "no worker of shard {} is large enough for a task of {} millicores, {} MB and {} accelerators",
                self.shard(),
                size.millicores,
                size.memory,
                size.accelerators
            );
            return refuse(ErrorKind::FitsNoWorker, message);
        }
        let moved = !record.checkpoints.is_empty();
        if let Some(wait) = self.excessive_wait(&record, placement, now, wall)
            && !moved
        {
            let message = format!("the work before it needs {wait} ms, longer than its deadline");
            return refuse(ErrorKind::DeadlineTooShort, message);
        }
        self.record_pending(&record);
        SubmitStep::Log(Change::Accepted(Box::new(record)))
    }

    /// Decides on a job of which another submission was accepted or redirected or is
    /// being logged; none if there was no other.
    pub fn repeated_submission(&self, record: &JobRecord, wall: WallClock) -> Option<SubmitStep> {
        let job = record.id;
        if let Some(digest) = self.known_digest(job) {
            return Some(match digest == record.digest {
                true if self.is_pending(job) => SubmitStep::Pending,
                true => SubmitStep::Known,
                false => SubmitStep::Refused(Refusal::new(
                    ErrorKind::KeyReused,
                    "the idempotency key was used with another job",
                )),
            });
        }
        if let Some(redirect) = self.redirects.get(&job.number) {
            return Some(SubmitStep::Redirected(redirect.to));
        }
        let to = *self.pending_redirects.get(&job)?;
        let at = wall;
        Some(SubmitStep::Log(Change::Redirected { job, to, at }))
    }

    /// Returns the milliseconds that this job and all work due before it need, if
    /// that is longer than the time until its deadline.
    fn excessive_wait(
        &self,
        record: &JobRecord,
        placement: &Placement,
        now: Moment,
        wall: WallClock,
    ) -> Option<u64> {
        let cores = placement.batch_cores(self.shard(), now);
        if cores == 0 {
            return None;
        }
        let own = u64::from(record.tasks) * record.duration * u64::from(record.size.millicores);
        let wait = (self.backlog(record.deadline) + own) / cores;
        let left = record.deadline.0.saturating_sub(wall.0);
        (wait > left).then_some(wait)
    }
}
