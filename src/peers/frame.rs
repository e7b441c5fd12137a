//! The frames that entry hosts exchange, encoded in CBOR.

use hyper::body::Bytes;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::ids::{HostId, JobId, ShardId};
use crate::jobs::{Account, JobRecord, JobView};
use crate::kind::Refusal;
use crate::ownership::PeerMessage;
use crate::workers::{HeaderLine, WorkerAnswer};

/// One frame, sent as a binary WebSocket message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame in each direction: names the sending process.
    Hello {
        /// The id of the sending process.
        host: HostId,
        /// The availability zone of the sending process.
        zone: String,
        /// A random number that the receiver must include in its proof.
        nonce: u64,
    },
    /// The second frame in each direction: proves that the sender has the shared
    /// key.
    Proof {
        /// The result of [`proof`](super::proof), in hexadecimal digits.
        mac: String,
    },
    /// A one-way message about shard ownership; it has no answer.
    Message(PeerMessage),
    /// A call that the receiver answers with [`Frame::Answer`].
    Call {
        /// The id of the call, chosen by the sender and unique on the connection.
        id: u64,
        /// The operation and its arguments.
        call: Box<PeerCall>,
    },
    /// The answer to a call.
    Answer {
        /// The id of the call that is answered.
        id: u64,
        /// The result of the call.
        answer: Box<PeerAnswer>,
    },
}

/// An operation that one entry host asks another to carry out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerCall {
    /// Serve an interactive request.
    Serve(ServeCall),
    /// Accept a job into a shard that the receiver owns.
    Submit(JobRecord),
    /// Cancel a job.
    Cancel(JobId),
    /// Look up a job.
    Job(JobId),
    /// Return the account of the shards that the receiver owns.
    Account,
    /// Return the configuration that the receiver has in force.
    Configuration,
}

/// The answer to a [`PeerCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The answer of the worker that served the request.
    Served(WorkerAnswer),
    /// The job was written to the shard's log.
    Accepted(JobId),
    /// The job must be submitted to this shard instead.
    Redirected(ShardId),
    /// The cancellation was written to the shard's log.
    Cancelled,
    /// The job that was looked up.
    Job(JobView),
    /// The account of the shards that the answering host owns.
    Account(Account),
    /// The configuration of the answering host.
    Configuration(Box<Configuration>),
    /// The call was refused.
    Refused(Refusal),
}

/// An interactive request that one entry host forwards to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServeCall {
    /// The name of the service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path after the service name, with the query string.
    pub path: String,
    /// The headers of the caller that are forwarded to the worker.
    pub headers: Vec<HeaderLine>,
    /// The request body.
    #[serde(with = "crate::bytes")]
    pub body: Bytes,
    /// The time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Whether another entry host forwarded the request.
    #[serde(rename = "passed")]
    pub forwarded: bool,
    /// The idempotency key; `None` if the caller gave none.
    pub key: Option<IdempotencyKey>,
}

/// An idempotency key, the shard that stores it and the request it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The shard whose log holds the key.
    pub shard: ShardId,
    /// The hash of the team's name and the key.
    pub key: u64,
    /// The hash of the request, to detect a key reused for another request.
    pub digest: u64,
}
