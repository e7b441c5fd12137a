//! The closed set of refusal kinds, each with the answer that callers get.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RunStatus {
    /// The request is proven not to have run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran once.
    Yes,
}

impl RunStatus {
    /// Returns the name used in bodies and headers.
    ///
    /// ```
    /// assert_eq!(lycheelock::kind::RunStatus::No.name(), "no");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// The reason why a caller gets a refusal instead of a worker's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A header, a path or a body is malformed.
    BadRequest,
    /// The service is not in the configuration.
    UnknownService,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The job class is not in the configuration.
    UnknownClass,
    /// The token is missing or wrong.
    BadToken,
    /// A body or header exceeds its size limit.
    TooLarge,
    /// The deadline would pass before the request could be answered.
    DeadlineTooShort,
    /// The team has used up its quota.
    QuotaExceeded,
    /// All slots are taken and the queue is full.
    Overloaded,
    /// No worker is currently usable.
    NoWorker,
    /// The request needs the platform's store, which cannot be reached.
    StoreUnavailable,
    /// The entry host that owns the shard cannot be reached.
    OwnerUnavailable,
    /// This entry host has no configuration yet.
    NotReady,
    /// This entry host is stopping.
    Stopping,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// The idempotency key was already used for another request.
    KeyReused,
    /// No worker of the shard is large enough for a task of this job.
    FitsNoWorker,
    /// The job is unknown.
    UnknownJob,
    /// The job was cancelled before it was accepted.
    JobCancelled,
    /// The deadline passed before anything was sent to a worker.
    DeadlinePassed,
    /// The worker's answer was lost.
    AnswerLost,
    /// The keyed request ran, but its answer was too large to be stored.
    AnswerNotKept,
    /// The worker's answer exceeds the size limit.
    AnswerTooLarge,
    /// Another change of the configuration was published first.
    Conflict,
    /// An internal error in lycheelock.
    Internal,
}

/// The answer that callers get for a kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The kind's name in bodies, headers and counters.
    pub name: &'static str,
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub run: RunStatus,
    /// How long a caller should wait before a retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
}

/// Retry delay for conditions that usually pass quickly, such as a full queue.
const SHORT_RETRY_DELAY: Option<Duration> = Some(Duration::from_millis(200));
/// Retry delay for conditions that usually last longer, such as an unreachable store.
const LONG_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(2));

/// The longest time for which a job that was cancelled before it was accepted is refused.
pub const CANCELLED_RETRY_DELAY: Duration = Duration::from_secs(120);

const fn response(
    name: &'static str,
    status: u16,
    run: RunStatus,
    retry: Option<Duration>,
) -> ErrorResponse {
    ErrorResponse {
        name,
        status,
        run,
        retry_after: retry,
    }
}

impl ErrorKind {
    /// All kinds, in the order of their counters.
    pub const ALL: [Self; 25] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::UnknownTeam,
        Self::UnknownClass,
        Self::BadToken,
        Self::TooLarge,
        Self::DeadlineTooShort,
        Self::QuotaExceeded,
        Self::Overloaded,
        Self::NoWorker,
        Self::StoreUnavailable,
        Self::OwnerUnavailable,
        Self::NotReady,
        Self::Stopping,
        Self::InProgress,
        Self::KeyReused,
        Self::FitsNoWorker,
        Self::UnknownJob,
        Self::JobCancelled,
        Self::DeadlinePassed,
        Self::AnswerLost,
        Self::AnswerNotKept,
        Self::AnswerTooLarge,
        Self::Conflict,
        Self::Internal,
    ];

    /// Returns the answer for this kind.
    ///
    /// ```
    /// use lycheelock::kind::{ErrorKind, RunStatus};
    ///
    /// assert_eq!(ErrorKind::Overloaded.response().status, 503);
    /// assert_eq!(ErrorKind::AnswerLost.response().run, RunStatus::Unknown);
    /// ```
    pub const fn response(self) -> ErrorResponse {
        use RunStatus::{No, Unknown, Yes};
        match self {
            Self::BadRequest => response("bad_request", 400, No, None),
            Self::UnknownService => response("unknown_service", 404, No, None),
            Self::UnknownTeam => response("unknown_team", 403, No, None),
            Self::UnknownClass => response("unknown_class", 404, No, None),
            Self::BadToken => response("bad_token", 401, No, None),
            Self::TooLarge => response("too_large", 413, No, None),
            Self::DeadlineTooShort => response("deadline_too_short", 503, No, SHORT_RETRY_DELAY),
            Self::QuotaExceeded => response("quota_exceeded", 429, No, SHORT_RETRY_DELAY),
            Self::Overloaded => response("overloaded", 503, No, SHORT_RETRY_DELAY),
            Self::NoWorker => response("no_worker", 503, No, LONG_RETRY_DELAY),
            Self::StoreUnavailable => response("store_unavailable", 503, No, LONG_RETRY_DELAY),
            Self::OwnerUnavailable => response("owner_unavailable", 503, No, LONG_RETRY_DELAY),
            Self::NotReady => response("not_ready", 503, No, LONG_RETRY_DELAY),
            Self::Stopping => response("stopping", 503, No, SHORT_RETRY_DELAY),
            Self::InProgress => response("in_progress", 409, Unknown, SHORT_RETRY_DELAY),
            Self::KeyReused => response("key_reused", 422, No, None),
            Self::FitsNoWorker => response("fits_no_worker", 422, No, None),
            Self::UnknownJob => response("unknown_job", 404, No, None),
            Self::JobCancelled => response("job_cancelled", 503, No, Some(CANCELLED_RETRY_DELAY)),
            Self::DeadlinePassed => response("deadline_passed", 504, No, SHORT_RETRY_DELAY),
            Self::AnswerLost => response("answer_lost", 502, Unknown, None),
            Self::AnswerNotKept => response("answer_not_kept", 410, Yes, None),
            Self::AnswerTooLarge => response("answer_too_large", 502, Yes, None),
            Self::Conflict => response("conflict", 409, No, None),
            Self::Internal => response("internal", 500, Unknown, None),
        }
    }

    /// Returns the position of the kind in [`ErrorKind::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.response().name)
    }
}

/// The reason why an attempt is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No connection to the worker could be made.
    ConnectFailed,
    /// The worker refused the request and started nothing.
    WorkerRefused,
    /// The worker's answer was lost and the request is idempotent.
    AnswerLost,
    /// The worker answered with an error and the request is idempotent.
    WorkerFailed,
    /// The answer carried the id of another request.
    WrongAnswer,
    /// The worker proved that a request whose answer was lost never ran.
    ProvenNotRun,
    /// Another entry host refused the forwarded request without running it.
    PeerRefused,
    /// The worker of a batch task failed or was lost.
    TaskLost,
    /// A batch task failed and has attempts left.
    TaskFailed,
    /// A batch task was evicted.
    TaskEvicted,
}

impl RetryReason {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 10] = [
        Self::ConnectFailed,
        Self::WorkerRefused,
        Self::AnswerLost,
        Self::WorkerFailed,
        Self::WrongAnswer,
        Self::ProvenNotRun,
        Self::PeerRefused,
        Self::TaskLost,
        Self::TaskFailed,
        Self::TaskEvicted,
    ];

    /// Returns the name used in counters.
    ///
    /// ```
    /// use lycheelock::kind::RetryReason;
    ///
    /// assert_eq!(RetryReason::TaskLost.name(), "task_lost");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::WorkerRefused => "worker_refused",
            Self::AnswerLost => "answer_lost",
            Self::WorkerFailed => "worker_failed",
            Self::WrongAnswer => "wrong_answer",
            Self::ProvenNotRun => "settled_not_run",
            Self::PeerRefused => "peer_refused",
            Self::TaskLost => "task_lost",
            Self::TaskFailed => "task_failed",
            Self::TaskEvicted => "task_evicted",
        }
    }

    /// Returns the position of the reason in [`RetryReason::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// A refusal: its kind and a message for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind of the refusal.
    pub kind: ErrorKind,
    /// What was wrong, with the field and its value.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal.
    ///
    /// ```
    /// use lycheelock::kind::{ErrorKind, Refusal};
    ///
    /// let refusal = Refusal::new(ErrorKind::UnknownTeam, "team \"x\" is not configured");
    /// assert_eq!(refusal.kind.response().status, 403);
    /// ```
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}
