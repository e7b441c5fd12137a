//! The random steps of the fuzz test.

use proptest::prelude::*;

/// The number of workers.
pub(super) const WORKER_COUNT: usize = 4;
/// The number of hosts that may own the shard.
pub(super) const HOST_COUNT: usize = 4;
/// The number of kinds of jobs.
pub(super) const JOB_KINDS: usize = 8;

/// The hosts whose link to a worker is cut.
#[derive(Debug, Clone, Copy)]
pub(super) enum Side {
    /// The host of the present owner.
    Owner,
    /// All other hosts.
    Others,
    /// All hosts.
    All,
}

/// The direction of a link that is cut.
#[derive(Debug, Clone, Copy)]
pub(super) enum Direction {
    Requests,
    Answers,
    Both,
}

/// One step; all spans are in milliseconds.
#[derive(Debug, Clone)]
pub(super) enum Step {
    Advance(u64),
    /// Submits a job of this kind.
    Submit(usize),
    /// Cancels the job with this index.
    Cancel(usize),
    /// The present owner stops as planned.
    Stop,
    /// The present owner is killed; its host returns after this time.
    Kill(u64),
    /// The present owner's host is lost for good; another one comes after this time.
    Replace(u64),
    /// The present owner is paused.
    Pause(u64),
    /// The present owner is cut off from the store.
    CutStore(u64),
    /// Links to a worker are cut.
    CutLink(Side, Direction, usize, u64),
    /// The present owner and the workers of this set are cut off from all others and from
    /// the store.
    Partition(u8, u64),
    /// A worker crashes and returns after a time, under its id or a new one.
    Crash(usize, bool, u64),
    /// A worker is lost for good, if enough others are left.
    Gone(usize),
    /// Of the calls to workers, this percentage fails.
    CallFaults(u64, u64),
    /// Of the calls to the store, this percentage fails.
    StoreFaults(u64, u64),
    /// No write of an owner reaches the store but its heartbeats.
    WriteFaults(u64),
    /// The operator asks to evacuate the zone with this index.
    Evacuate(usize),
    /// The operator withdraws that request.
    Restore(usize),
    /// A worker lists many ends of runs of a job that is forgotten.
    Backlog(usize),
    /// Submits a job with this number of tasks, each of which takes this time.
    SubmitLasting(u32, u64),
    /// A worker is cut off from the store.
    CutWorkerStore(usize, u64),
}

pub(super) fn steps() -> impl Strategy<Value = Step> {
    let worker = 0..WORKER_COUNT;
    let side = prop_oneof![Just(Side::Owner), Just(Side::Others), Just(Side::All)];
    let direction = prop_oneof![
        1 => Just(Direction::Requests),
        1 => Just(Direction::Answers),
        2 => Just(Direction::Both)
    ];
    let cut = 300..9_000_u64;
    prop_oneof![
        12 => (20..3_000_u64).prop_map(Step::Advance),
        8 => (0..JOB_KINDS).prop_map(Step::Submit),
        1 => (0..8_usize).prop_map(Step::Cancel),
        3 => Just(Step::Stop),
        2 => (100..6_000_u64).prop_map(Step::Kill),
        1 => (100..6_000_u64).prop_map(Step::Replace),
        2 => (300..7_000_u64).prop_map(Step::Pause),
        2 => (300..8_000_u64).prop_map(Step::CutStore),
        5 => (side, direction, worker.clone(), cut)
            .prop_map(|(side, direction, worker, span)| {
                Step::CutLink(side, direction, worker, span)
            }),
        3 => (1..16_u8, 1_000..10_000_u64).prop_map(|(set, span)| Step::Partition(set, span)),
        2 => (worker.clone(), any::<bool>(), 50..6_000_u64)
            .prop_map(|(worker, same, span)| Step::Crash(worker, same, span)),
        1 => worker.clone().prop_map(Step::Gone),
        2 => (10..70_u64, 200..6_000_u64).prop_map(|(share, span)| Step::CallFaults(share, span)),
        3 => (10..90_u64, 200..6_000_u64).prop_map(|(share, span)| Step::StoreFaults(share, span)),
        2 => (200..4_000_u64).prop_map(Step::WriteFaults),
        1 => worker.prop_map(Step::Backlog),
        4 => (0..2_usize).prop_map(Step::Evacuate),
        3 => (0..2_usize).prop_map(Step::Restore),
    ]
}
