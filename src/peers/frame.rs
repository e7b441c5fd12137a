//! The frames between entry hosts.

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::ids::{HostId, JobId, ShardId};
use crate::jobs::{Account, JobRecord, JobView};
use crate::kind::Refusal;
use crate::ownership::PeerMessage;
use crate::workers::{HeaderLine, WorkerAnswer};

/// One frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame in each direction.
    Hello {
        /// The sending process.
        host: HostId,
        /// Its availability zone.
        zone: String,
        /// A number that the other side must use in its proof.
        nonce: u64,
    },
    /// The second frame in each direction: proves that the sender has the key.
    Proof {
        /// The keyed hash, in hexadecimal digits.
        mac: String,
    },
    /// A message about ownership.
    Message(PeerMessage),
    /// A call.
    Call {
        /// Its id.
        id: u64,
        /// What is asked.
        call: Box<PeerCall>,
    },
    /// The answer to a call.
    Answer {
        /// The call's id.
        id: u64,
        /// The answer.
        answer: Box<PeerAnswer>,
    },
}

/// What one entry host asks another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// To serve an interactive request.
    Serve(ServeCall),
    /// To accept a job into a shard that it owns.
    Submit(JobRecord),
    /// To cancel a job.
    Cancel(JobId),
    /// To look up a job.
    Job(JobId),
    /// For the account of the shards that it owns.
    Account,
    /// For its configuration.
    Configuration,
}

/// The answer to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer of a worker.
    Served(WorkerAnswer),
    /// The job is in the log.
    Accepted(JobId),
    /// Another shard takes the job.
    Redirected(ShardId),
    /// The cancellation is in the log.
    Cancelled,
    /// A job.
    Job(JobView),
    /// The account.
    Account(Account),
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The call was refused.
    Refused(Refusal),
}

/// An interactive request that is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeCall {
    /// The service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path behind the service, with its query.
    pub path: String,
    /// The headers.
    pub headers: Vec<HeaderLine>,
    /// The body.
    #[serde(with = "crate::bytes")]
    pub body: Vec<u8>,
    /// The time left, in milliseconds.
    pub deadline_ms: u64,
    /// Whether it must run at most once.
    pub once: bool,
    /// Whether another entry host passed it on.
    pub passed: bool,
    /// The idempotency key, if it has one.
    pub key: Option<KeyCall>,
}

/// An idempotency key with its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCall {
    /// The shard whose log holds the key.
    pub shard: ShardId,
    /// The hash of team and key.
    pub key: u64,
    /// The hash of the request.
    pub digest: u64,
}
