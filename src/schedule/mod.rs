//! Scheduling for the users' platform: decides for the owner of a shard which
//! worker runs each task, and when. Together with `workflow` it is the counterpart
//! of `jobs`, which serves lycheelock's own protocol.

mod batch;
mod closed;
mod crash;
mod delay;
mod ends;
mod event;
mod exposure;
mod failures;
mod fencing;
mod fit;
mod gang;
mod idle;
mod impaired;
mod moves;
mod order;
mod pairs;
mod peers;
mod place;
mod placement;
mod rank;
mod recovery;
mod registry;
mod restart;
mod scheduler;
mod slow;
mod starts;
mod suspicion;
#[cfg(test)]
mod tests;
mod throttle;
mod trial;
mod usage;
mod waiting;
mod write;

pub use batch::{Batch, Change, PairRecord, RosterEntry, StateRecord};
pub use crash::CrashedRun;
pub use delay::JobDelay;
pub use event::{Event, WaitReason};
pub use idle::WorkerCounts;
pub use moves::{MoveRecord, PeerShard};
pub use order::Order;
pub use scheduler::{Scheduler, Term};
pub use starts::ZONE_EVACUATED;
pub use write::PAIRS_INTERVAL;
