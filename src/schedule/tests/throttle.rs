//! Tests of speeds that are not in force: their order got no answer, or an older one was
//! carried out after it.

use super::*;
use crate::fleet::StopOrder;

/// One worker with a serving task and a best-effort task of 2 cores beside it.
struct Pair {
    shard: Shard,
    runs: Vec<(TaskName, u64)>,
}

impl Pair {
    fn new() -> Self {
        let mut shard = Shard::first_owner(&["w0"]);
        shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
        shard.submit(active_workflow(2, vec![best_effort(1, 2, "batch")], 2, 2));
        shard.plan();
        let runs = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
        Self { shard, runs }
    }

    /// Reports these measurements every 500 ms until `millis`. Returns the speeds that were
    /// ordered, each with its time.
    fn report_until(&mut self, millis: u64, tail: u32, used: u32) -> Vec<(u64, u8)> {
        let mut speeds = Vec::new();
        while self.shard.now < millis {
            self.shard.now += 500;
            let rows = self.runs.iter().map(|(task, run)| {
                let is_serving = *task == name(1, 0, 0);
                let measurement = if is_serving { tail } else { used };
                LiveRun {
                    progress: (self.shard.now / 500) as u8,
                    ..live(*task, *run, measurement)
                }
            });
            self.shard.report_with(0, 1, rows.collect(), &[]);
            self.shard.plan();
            let now = self.shard.now;
            speeds.extend(self.shard.speeds().iter().map(|order| (now, order.1)));
        }
        speeds
    }
}

/// The queued throttle orders, each with its worker and its speed.
fn throttles(queue: &[(WorkerKey, Order)]) -> Vec<(WorkerKey, StopOrder, u8)> {
    let throttles = queue.iter().filter_map(|(worker, order)| match order {
        Order::Throttle(run, speed) => Some((*worker, *run, *speed)),
        Order::Start { .. } | Order::Stop(_) => None,
    });
    throttles.collect()
}

#[test]
fn a_run_that_works_on_after_a_pause_is_not_paused_again() {
    let mut pair = Pair::new();
    pair.report_until(1_500, 60, 1_900);
    let speeds = pair.report_until(4_000, 60, 1_900);
    assert_eq!(speeds, [(2_500, 0), (3_500, 0)]);
}

#[test]
fn a_raise_that_is_carried_out_after_a_pause_stays_in_force() {
    let mut pair = Pair::new();
    pair.report_until(2_000, 60, 1_900);
    let paused = pair.report_until(4_000, 60, 0);
    assert_eq!(paused, [], "the pause is in force");
    let speeds = pair.report_until(5_000, 60, 1_900);
    assert_eq!(speeds, [(4_500, 0)]);
}

#[test]
fn repeated_orders_that_wait_behind_a_start_are_all_sent() {
    let mut pair = Pair::new();
    let mut queue = Vec::new();
    for (millis, tail, used) in [(3_000, 60, 1_900), (8_000, 5, 500), (12_000, 60, 1_900)] {
        while pair.shard.now < millis {
            pair.report_until(pair.shard.now + 500, tail, used);
            queue.append(&mut pair.shard.orders);
        }
    }
    let now = at(pair.shard.now);
    let queued: Vec<u8> = throttles(&queue).iter().map(|order| order.2).collect();
    let sent = throttles(&queue)
        .into_iter()
        .filter(|(worker, run, speed)| {
            let scheduler = &mut pair.shard.scheduler;
            scheduler.begin_throttle(*worker, run, *speed, now)
        });
    let sent: Vec<u8> = sent.map(|order| order.2).collect();
    insta::assert_snapshot!(format!("queued {queued:?}, sent {sent:?}"), @"queued [50, 0, 0, 25, 50, 75, 100, 50, 0, 0, 0], sent [0]");
}
