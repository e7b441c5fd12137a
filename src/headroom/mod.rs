//! Headroom: free processors that are kept for short tasks, as long-running ones would hold
//! them for long.
//!
//! The load that this slice handles: in a pool that is nearly full, long-running tasks take
//! each processor that becomes free and keep it for a minute, while urgent tasks of a second
//! find room on no worker. The slice learns how many processors the short tasks of each pool
//! use at their peak. A long-running task that has never run is placed only if it leaves that
//! much free, or once the pool has had room for two tasks of its size for a while.
//!
//! Serves the users' platform; `schedule` asks it. The state belongs to one owner and is learned
//! anew by the next.

mod demand;
mod pool;
mod size;
mod state;
#[cfg(test)]
mod tests;

pub use pool::PoolHeadroom;
pub use state::Headroom;
