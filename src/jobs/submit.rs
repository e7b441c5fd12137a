//! Taking jobs into the ledger.

use serde::{Deserialize, Serialize};

use super::Wall;
use super::change::{Change, JobRecord};
use super::ledger::Ledger;
use crate::configuration::{Class, Size};
use crate::ids::{JobId, ShardId, stable_hash};
use crate::kind::{ErrorKind, Refusal};
use crate::moment::Moment;
use crate::placement::Placement;

/// The most tasks of one job.
const MAX_TASKS: u32 = 20_000;
/// A shard takes no more jobs when its snapshot would have this many bytes;
/// the store holds values of up to a megabyte.
const FULL_WEIGHT: usize = 600_000;
/// The longest payload, in bytes.
const MAX_PAYLOAD: usize = 4096;
/// The longest time until a deadline and the longest run time, in milliseconds.
const MAX_SPAN: u64 = 366 * 24 * 3600 * 1000;

/// A job as it is submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The job class.
    pub class: String,
    /// How many tasks it has.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What each task is given.
    #[serde(default)]
    pub payload: String,
    /// Its deadline in milliseconds from now; the class's if none.
    #[serde(default)]
    pub deadline_ms: Option<u64>,
    /// What a task takes; the class's size if none.
    #[serde(default)]
    pub size: Option<Size>,
    /// How long a task runs, in milliseconds; the class's duration if none.
    #[serde(default)]
    pub duration_ms: Option<u64>,
}

const fn one() -> u32 {
    1
}

impl JobSpec {
    /// Checks the bounds of the fields.
    ///
    /// # Errors
    ///
    /// Refuses with the field and its value.
    ///
    /// ```
    /// use lycheelock::jobs::JobSpec;
    ///
    /// let spec: JobSpec = serde_json::from_str(r#"{"class":"review","tasks":0}"#).unwrap();
    /// assert!(spec.check().unwrap_err().message.contains("tasks"));
    /// ```
    pub fn check(&self) -> Result<(), Refusal> {
        let fault = |message: String| Err(Refusal::new(ErrorKind::BadRequest, message));
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return fault(format!("tasks = {}: give 1 to {MAX_TASKS}", self.tasks));
        }
        if self.payload.len() > MAX_PAYLOAD {
            let length = self.payload.len();
            return fault(format!(
                "payload of {length} bytes: give at most {MAX_PAYLOAD}"
            ));
        }
        let spans = [
            ("deadline_ms", self.deadline_ms),
            ("duration_ms", self.duration_ms),
        ];
        for (name, span) in spans {
            if span.is_some_and(|span| span == 0 || span > MAX_SPAN) {
                let span = span.unwrap_or_default();
                return fault(format!("{name} = {span}: give 1 to {MAX_SPAN}"));
            }
        }
        Ok(())
    }

    fn digest(&self, team: &str) -> u64 {
        let text = serde_json::to_string(self).expect("plain values have a JSON form");
        stable_hash(format!("{team}\n{text}").as_bytes())
    }

    /// The record of this job.
    pub fn record(&self, id: JobId, team: &str, class: &Class, now: Wall) -> JobRecord {
        let deadline = class.deadline.as_millis() as u64;
        JobRecord {
            id,
            digest: self.digest(team),
            team: team.to_owned(),
            class: class.name.clone(),
            tasks: self.tasks,
            payload: self.payload.clone(),
            saved: Vec::new(),
            submitted: now,
            deadline: now.plus(self.deadline_ms.unwrap_or(deadline)),
            duration: self
                .duration_ms
                .unwrap_or(class.duration.as_millis() as u64),
            size: self.size.unwrap_or(class.size),
            checkpoint: class.checkpoint,
            idempotent: class.idempotent,
            urgent: class.urgent,
            overnight: class.overnight,
            attempts: class.attempts,
        }
    }
}

/// What becomes of a submission.
#[derive(Debug, Clone, PartialEq)]
pub enum Submission {
    /// Log this change; the job is accepted when it stands in the log.
    Log(Change),
    /// It is a repeat of an accepted job.
    Known,
    /// Another shard takes it.
    Redirected(ShardId),
    /// Its first submission is being logged.
    Pending,
    /// It is refused.
    Refused(Refusal),
}

impl Ledger {
    /// Decides on a submission. `other` is a shard that could hold the job if
    /// this one could not; the choice is logged, so that a repeat of the
    /// submission meets the same shard.
    pub fn submit(
        &mut self,
        record: JobRecord,
        placement: &Placement,
        other: Option<ShardId>,
        now: Moment,
        wall: Wall,
    ) -> Submission {
        let refuse = |kind, message: String| Submission::Refused(Refusal::new(kind, message));
        if let Some(digest) = self.submitted(record.id) {
            return match digest == record.digest {
                true if self.is_pending(record.id) => Submission::Pending,
                true => Submission::Known,
                false => refuse(
                    ErrorKind::KeyReused,
                    "the idempotency key was used with another job".to_owned(),
                ),
            };
        }
        if let Some(redirect) = self.redirects.get(&record.id.number) {
            return Submission::Redirected(redirect.to);
        }
        if self.weight() >= FULL_WEIGHT {
            let message = format!("shard {} holds as many jobs and keys as fit", self.shard());
            return refuse(ErrorKind::Overloaded, message);
        }
        if !placement.could_hold(self.shard(), record.size) {
            if let Some(to) = other.filter(|to| *to != self.shard()) {
                let job = record.id;
                let at = wall;
                return Submission::Log(Change::Redirected { job, to, at });
            }
            let size = record.size;
            let message = format!(
                "no worker of shard {} holds a task of {} thousandths of a core, {} MB and {} accelerators",
                self.shard(),
                size.cores,
                size.memory,
                size.accelerators
            );
            return refuse(ErrorKind::FitsNoWorker, message);
        }
        let moved = !record.saved.is_empty();
        if let Some(wait) = self.too_late(&record, placement, now, wall)
            && !moved
        {
            let message = format!("the work before it needs {wait} ms, longer than its deadline");
            return refuse(ErrorKind::DeadlineTooShort, message);
        }
        self.note_pending(&record);
        Submission::Log(Change::Accepted(Box::new(record)))
    }

    /// How long the work before this job needs, if that is too long.
    fn too_late(
        &self,
        record: &JobRecord,
        placement: &Placement,
        now: Moment,
        wall: Wall,
    ) -> Option<u64> {
        let cores = placement.batch_cores(self.shard(), now);
        if cores == 0 {
            return None;
        }
        let own = u64::from(record.tasks) * record.duration * u64::from(record.size.cores);
        let wait = (self.backlog(record.deadline) + own) / cores;
        let left = record.deadline.0.saturating_sub(wall.0);
        (wait > left).then_some(wait)
    }
}
