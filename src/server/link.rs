//! The state of one connection: its stage, and what it holds until the response has
//! been handed to the connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::drain::{RequestCounter, RequestGuard};
use crate::overload::{Charge, OpenConnection, Stage};

#[derive(Debug)]
struct State {
    stage: Stage,
    /// Counts the request from its first byte until its response is handed over.
    progress: Option<RequestGuard>,
    /// The bytes of responses that are not handed over yet.
    unsent: Vec<Arc<Charge>>,
    /// The number of them that hyper has taken whole.
    taken: usize,
}

/// One connection from a caller.
#[derive(Debug)]
pub(super) struct Link {
    pub connection: OpenConnection,
    counter: RequestCounter,
    state: Mutex<State>,
    discards: AtomicBool,
    unread: AtomicBool,
    malformed: AtomicBool,
}

impl Link {
    pub fn new(connection: OpenConnection, counter: RequestCounter) -> Self {
        Self {
            connection,
            counter,
            state: Mutex::new(State {
                stage: Stage::Idle,
                progress: None,
                unsent: Vec::new(),
                taken: 0,
            }),
            discards: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            malformed: AtomicBool::new(false),
        }
    }

    /// Records received bytes. The first ones of a request begin it.
    pub fn on_read(&self, bytes: usize) {
        let mut state = self.state();
        if state.stage == Stage::Idle {
            self.begin(&mut state, Stage::Receiving);
        }
        if state.stage == Stage::Receiving {
            self.connection.record_moved(bytes);
        }
    }

    /// Records sent bytes.
    pub fn on_written(&self, bytes: usize) {
        if self.state().stage == Stage::Sending {
            self.connection.record_moved(bytes);
        }
    }

    /// Records that all bytes were handed to the connection.
    pub fn on_flushed(&self) {
        let mut state = self.state();
        let taken = std::mem::take(&mut state.taken);
        if taken == 0 {
            return;
        }
        state.unsent.drain(..taken);
        if state.unsent.is_empty() && state.stage == Stage::Sending {
            state.stage = Stage::Idle;
            state.progress = None;
            self.connection.set_held(0);
            self.connection.enter(Stage::Idle);
        }
    }

    /// Records that the headers of a request are complete.
    pub fn on_request(&self) {
        self.begin(&mut self.state(), Stage::Handling);
    }

    /// Records that the body of a request is about to be received.
    pub fn on_body(&self) {
        self.begin(&mut self.state(), Stage::Receiving);
    }

    /// Records that a response is about to be sent.
    pub fn on_response(&self, charge: Arc<Charge>) {
        let mut state = self.state();
        self.connection.set_held(charge.bytes());
        state.unsent.push(charge);
        self.begin(&mut state, Stage::Sending);
    }

    /// Records that hyper has taken all of the response.
    pub fn on_taken(&self) {
        let mut state = self.state();
        state.taken = (state.taken + 1).min(state.unsent.len());
    }

    /// Lets the rest of a refused request be discarded before the connection closes.
    pub fn set_discards(&self) {
        self.discards.store(true, Ordering::Relaxed);
    }

    pub fn discards(&self) -> bool {
        self.discards.load(Ordering::Relaxed)
    }

    /// Records whether the last request was answered before its body was read. hyper closes
    /// the connection then, unless it has received all of the body.
    pub fn set_unread(&self, unread: bool) {
        self.unread.store(unread, Ordering::Relaxed);
    }

    /// Whether the caller may still send a part of the last request.
    pub fn is_unread(&self) -> bool {
        self.discards() || self.unread.load(Ordering::Relaxed)
    }

    /// Records that hyper writes an error. Returns whether it is hyper's own, that is, about a
    /// malformed request, as no response was passed to hyper.
    pub fn on_error_written(&self) -> bool {
        let own = self.state().unsent.is_empty();
        if own {
            self.malformed.store(true, Ordering::Relaxed);
        }
        own
    }

    /// Whether hyper wrote an error of its own.
    pub fn is_malformed(&self) -> bool {
        self.malformed.load(Ordering::Relaxed)
    }

    pub fn stage(&self) -> Stage {
        self.state().stage
    }

    fn begin(&self, state: &mut State, stage: Stage) {
        if state.progress.is_none() {
            state.progress = Some(self.counter.begin());
        }
        state.stage = stage;
        self.connection.enter(stage);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
