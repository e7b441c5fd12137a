//! Decides whether a waiting task goes on waiting for the rack of its data.
//!
//! A task may name the rack of its data; on any other rack it takes longer by a known
//! factor. The load that this handles is many jobs that want the same rack at once: the
//! first of them wait for it, and the others run elsewhere as soon as that is faster.
//! Tasks that may run on any rack are kept away from the racks for which others wait.
//!
//! Serves the users' platform; `schedule` asks before each pass. A pass in which no waiting
//! task names a rack is not affected.

mod rack;
#[cfg(test)]
mod tests;
mod waits;

pub use rack::{RackLoad, RemoteFactor, WaitingTask};
pub use waits::RackWaits;
