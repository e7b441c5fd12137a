//! Small stand-ins of the platform and of workers, for tests and the demo.
//!
//! They hold no decision of the product. The workers keep a journal, and the
//! audit finds in it what must never happen.

pub mod audit;
pub mod platform;
pub mod store;
pub mod tasks;
pub mod worker;
