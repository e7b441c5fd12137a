//! Steps of the fuzz test: operations, faults and the passing of time.

use std::time::Duration;

use lycheelock::platform::HostState;
use proptest::prelude::*;

use super::{HOST_COUNT, Notice, WORKER_COUNT, World};

/// A step. Hosts, workers and operators are given by number, times in milliseconds.
#[derive(Clone, Debug)]
pub enum Step {
    /// Virtual time passes.
    Advance(u64),
    /// A job is submitted at a host: its class and number of tasks.
    Submit(usize, usize, u32),
    /// A job is cancelled at a host: the job's position among all submitted ones.
    Cancel(usize, usize),
    /// A request with an idempotency key arrives at a host.
    KeyedRequest(usize, u64),
    /// Requests arrive at a host: whether they may run only once, and their number.
    Request(usize, bool, u32),
    /// An operator publishes a configuration after a delay.
    Publish(u64, u64),
    /// A host's process makes no progress until it is resumed.
    Pause(usize),
    Resume(usize),
    /// A host's process dies and another one starts.
    Replace(usize),
    /// A host begins a planned stop.
    Stop(usize),
    /// Messages from one host to another are dropped.
    BlockLink(usize, usize),
    /// All links between hosts work again.
    UnblockLinks,
    StoreDown(bool),
    /// A host cannot reach the store and the host list, or can again.
    StoreUnreachable(usize, bool),
    /// The answers to the next writes to the store are lost.
    LoseAnswers(u32),
    /// Operations of a host arrive at the store after a delay.
    StoreDelay(usize, u64),
    /// Calls do not arrive at a worker, or do again.
    WorkerSilent(usize, bool),
    /// Calls arrive at a worker after a delay.
    WorkerDelay(usize, u64),
    WorkerRestart(usize),
    /// A worker restarts, and after a time calls no longer arrive there.
    RestartThenCut(usize, u64),
    /// A worker restarts and gets the calls that did not arrive before.
    RestartBehindCut(usize),
    /// Requests arrive at a host, and its calls for them at the workers after a delay.
    LateRequest(usize, bool, u32, u64),
    /// Tasks fail on a worker, or no longer do.
    WorkerFails(usize, bool),
    /// The host list shows a worker as leaving.
    WorkerLeaves(usize),
    /// The host list shows a worker as live.
    WorkerReturns(usize),
    /// An operator requests the evacuation of the zone, or ends it.
    Evacuate(bool),
}

pub fn steps() -> BoxedStrategy<Step> {
    let host = 0..HOST_COUNT;
    let worker = 0..WORKER_COUNT;
    prop_oneof![
        8 => (50_u64..4000).prop_map(Step::Advance),
        2 => (4000_u64..20_000).prop_map(Step::Advance),
        5 => (host.clone(), 0_usize..4, 1_u32..4).prop_map(|(h, c, t)| Step::Submit(h, c, t)),
        1 => (host.clone(), 0_usize..20).prop_map(|(h, j)| Step::Cancel(h, j)),
        2 => (host.clone(), 0_u64..6).prop_map(|(h, k)| Step::KeyedRequest(h, k)),
        4 => (host.clone(), any::<bool>(), 1_u32..8).prop_map(|(h, o, n)| Step::Request(h, o, n)),
        1 => (1_u64..3, 0_u64..300).prop_map(|(o, w)| Step::Publish(o, w)),
        1 => host.clone().prop_map(Step::Pause),
        2 => host.clone().prop_map(Step::Resume),
        1 => host.clone().prop_map(Step::Replace),
        1 => host.clone().prop_map(Step::Stop),
        2 => (host.clone(), host.clone()).prop_map(|(a, b)| Step::BlockLink(a, b)),
        1 => Just(Step::UnblockLinks),
        1 => Just(Step::StoreDown(true)),
        2 => Just(Step::StoreDown(false)),
        2 => (host.clone(), any::<bool>()).prop_map(|(h, u)| Step::StoreUnreachable(h, u)),
        1 => (1_u32..6).prop_map(Step::LoseAnswers),
        2 => (host, 0_u64..15_000).prop_map(|(h, d)| Step::StoreDelay(h, d)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, s)| Step::WorkerSilent(w, s)),
        1 => (worker.clone(), 0_u64..30_000).prop_map(|(w, d)| Step::WorkerDelay(w, d)),
        1 => worker.clone().prop_map(Step::WorkerRestart),
        1 => (worker.clone(), any::<bool>()).prop_map(|(w, f)| Step::WorkerFails(w, f)),
        1 => worker.clone().prop_map(Step::WorkerLeaves),
        1 => worker.prop_map(Step::WorkerReturns),
        2 => any::<bool>().prop_map(Step::Evacuate),
    ]
    .boxed()
}

/// Steps in which workers often restart while calls to them are held back or delayed, and
/// owners are replaced.
pub fn restart_steps() -> BoxedStrategy<Step> {
    let host = 0..HOST_COUNT;
    let worker = 0..WORKER_COUNT;
    prop_oneof![
        10 => (50_u64..1500).prop_map(Step::Advance),
        2 => (10_000_u64..20_000).prop_map(Step::Advance),
        5 => (host.clone(), 0_usize..4, 1_u32..4).prop_map(|(h, c, t)| Step::Submit(h, c, t)),
        2 => (host.clone(), any::<bool>(), 1_u32..4).prop_map(|(h, o, n)| Step::Request(h, o, n)),
        4 => (host.clone(), any::<bool>(), 1_u32..4, 4_000_u64..20_000)
            .prop_map(|(h, o, n, d)| Step::LateRequest(h, o, n, d)),
        1 => host.clone().prop_map(Step::Pause),
        2 => host.clone().prop_map(Step::Resume),
        1 => host.clone().prop_map(Step::Replace),
        1 => host.clone().prop_map(Step::Stop),
        1 => (host.clone(), any::<bool>()).prop_map(|(h, u)| Step::StoreUnreachable(h, u)),
        1 => (host.clone(), host).prop_map(|(a, b)| Step::BlockLink(a, b)),
        1 => Just(Step::UnblockLinks),
        2 => (worker.clone(), any::<bool>()).prop_map(|(w, s)| Step::WorkerSilent(w, s)),
        4 => (worker.clone(), 200_u64..2000).prop_map(|(w, a)| Step::RestartThenCut(w, a)),
        4 => worker.clone().prop_map(Step::RestartBehindCut),
        1 => (worker.clone(), 0_u64..30_000).prop_map(|(w, d)| Step::WorkerDelay(w, d)),
        2 => worker.clone().prop_map(|w| Step::WorkerDelay(w, 0)),
        3 => worker.prop_map(Step::WorkerRestart),
    ]
    .boxed()
}

impl World {
    pub fn apply(&mut self, step: &Step) {
        let millis = Duration::from_millis;
        match *step {
            Step::Advance(ms) => self.advance(millis(ms)),
            Step::Submit(host, class, tasks) => self.submit(host, class, tasks),
            Step::Cancel(host, job) => self.cancel(host, job),
            Step::KeyedRequest(host, key) => self.keyed_request(host, key),
            Step::Request(host, once, count) => {
                for _ in 0..count {
                    self.request(host, once);
                }
            }
            Step::LateRequest(host, once, count, ms) => self.late_request(host, once, count, ms),
            Step::Publish(operator, wait) => self.publish(operator, millis(wait)),
            Step::Pause(host) => self.hosts[host].paused = true,
            Step::Resume(host) => self.hosts[host].paused = false,
            Step::Replace(host) => self.replace(host),
            Step::Stop(host) => self.hosts[host].core.ownership.stop(),
            Step::BlockLink(from, to) => {
                self.blocked_links.insert((from, to));
            }
            Step::UnblockLinks => self.blocked_links.clear(),
            Step::StoreDown(down) => self.store_down = down,
            Step::StoreUnreachable(host, unreachable) => {
                self.hosts[host].store_unreachable = unreachable
            }
            Step::LoseAnswers(count) => self.lose_answers = count,
            Step::StoreDelay(host, ms) => self.hosts[host].store_delay = millis(ms),
            Step::WorkerSilent(worker, silent) => self.workers[worker].silent = silent,
            Step::WorkerDelay(worker, ms) => self.workers[worker].delay = millis(ms),
            Step::WorkerRestart(worker) => self.restart_worker(worker),
            Step::RestartThenCut(worker, ms) => {
                self.restart_worker(worker);
                self.advance(millis(ms));
                self.workers[worker].silent = true;
            }
            Step::RestartBehindCut(worker) => {
                self.restart_worker(worker);
                self.workers[worker].silent = false;
            }
            Step::WorkerFails(worker, fails) => self.workers[worker].model.fails = fails,
            Step::WorkerLeaves(worker) => self.mark_leaving(worker),
            Step::WorkerReturns(worker) => self.mark_live(worker),
            Step::Evacuate(evacuated) => self.evacuate(evacuated),
        }
    }

    fn late_request(&mut self, host: usize, once: bool, count: u32, ms: u64) {
        let delays: Vec<Duration> = self.workers.iter().map(|worker| worker.delay).collect();
        for worker in &mut self.workers {
            worker.delay = Duration::from_millis(ms);
        }
        for _ in 0..count {
            self.request(host, once);
        }
        for (worker, delay) in self.workers.iter_mut().zip(delays) {
            worker.delay = delay;
        }
    }

    fn mark_leaving(&mut self, worker: usize) {
        self.workers[worker].listing.state = HostState::Leaving;
    }

    fn mark_live(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        worker.listing.state = HostState::Live;
        worker.leaving = Notice::default();
    }

    /// Ends every fault, replaces stopped hosts and advances time until everything
    /// that was accepted has ended.
    pub fn run_to_completion(&mut self) {
        self.clear_faults();
        self.evacuate(false);
        for worker in 0..WORKER_COUNT {
            self.mark_live(worker);
        }
        for host in 0..HOST_COUNT {
            let stopped = self.hosts[host].core.ownership.is_stopping();
            if stopped {
                self.advance(Duration::from_secs(5));
                self.replace(host);
            }
        }
        self.advance(Duration::from_secs(300));
    }
}
