//! The demo: a whole deployment in one process, with failures on the way.

mod run;
mod summary;

pub use run::{DemoSettings, run};
pub use summary::Summary;
