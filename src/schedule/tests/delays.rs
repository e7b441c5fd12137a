//! Tests of what the log says about delayed jobs.

use super::*;

impl Shard {
    /// The events about delays since the last call, one per line as in the log.
    fn delays(&mut self) -> String {
        let events = self.scheduler.take_events().into_iter();
        let delays = events.filter(|event| {
            matches!(
                event,
                Event::Waiting { .. } | Event::JobOverdue { .. } | Event::JobEnded { .. }
            )
        });
        let lines = delays.map(|event| serde_json::to_string(&event).unwrap());
        lines.collect::<Vec<String>>().join("\n")
    }

    /// The events about idle jobs since the last call, one per line as in the log.
    fn idle_jobs(&mut self) -> String {
        let events = self.scheduler.take_events().into_iter();
        let idle = events.filter(|event| matches!(event, Event::JobIdle { .. }));
        let lines = idle.map(|event| serde_json::to_string(&event).unwrap());
        lines.collect::<Vec<String>>().join("\n")
    }

    /// Reports the runs as they are, and plans, each half second until `millis`.
    fn run_until(&mut self, millis: u64, running: &[(TaskName, u64)]) {
        while self.now < millis {
            self.now += 500;
            self.report(0, running, &[]);
            self.plan();
        }
    }
}

#[test]
fn a_waiting_job_names_the_resource_that_it_lacks() {
    let with_memory = |step: Step, memory| Step {
        need: Capacity {
            memory,
            ..step.need
        },
        ..step
    };
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(
        1,
        vec![with_memory(step(1, 3), 5000)],
        1,
        0,
    ));
    shard.plan();
    let running: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    shard.submit(active_workflow(2, vec![step(1, 6)], 2, 0));
    shard.submit(active_workflow(
        3,
        vec![with_memory(step(1, 1), 4000)],
        3,
        0,
    ));
    shard.submit(active_workflow(
        4,
        vec![with_memory(step(1, 6), 4000)],
        4,
        0,
    ));
    shard.submit(active_workflow(5, vec![step(1, 9)], 5, 0));
    shard.run_until(2_000, &running);
    insta::assert_snapshot!(shard.delays(), @r#"
    {"event":"waiting","task":"0000000000000002.0.0.0","waited":2000,"reason":"no_processors","label":"","image":"","running":0}
    {"event":"waiting","task":"0000000000000003.0.0.0","waited":2000,"reason":"no_memory","label":"","image":"","running":0}
    {"event":"waiting","task":"0000000000000004.0.0.0","waited":2000,"reason":"no_room","label":"","image":"","running":0}
    {"event":"waiting","task":"0000000000000005.0.0.0","waited":2000,"reason":"too_large","label":"","image":"","running":0}
    "#);
}

#[test]
fn a_job_that_waits_for_a_place_without_interference_says_so() {
    let mut shard = Shard::first_owner(&["w0"]);
    let (serving_image, batch) = (
        shard.scheduler.images.key("video"),
        shard.scheduler.images.key("batch"),
    );
    shard
        .scheduler
        .pairs
        .restore(serving_image, batch, stored(4.0));
    let busy = vec![serving(1, 2, "video"), step(1, 4)];
    shard.submit(active_workflow(1, busy, 1, 0));
    shard.plan();
    let running: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    shard.submit(active_workflow(2, vec![best_effort(1, 2, "batch")], 2, 2));
    shard.run_until(2_000, &running);
    insta::assert_snapshot!(shard.delays(), @r#"
    {"event":"waiting","task":"0000000000000002.0.0.0","waited":2000,"reason":"interference","label":"","image":"batch","running":0}
    "#);
}

#[test]
fn an_overdue_job_says_how_much_later_work_overtook_it() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(1, 8)], 1, 0));
    shard.plan();
    let mut runs = shard.confirm();
    let large = Step {
        estimate: Duration::from_secs(4),
        ..step(20, 8)
    };
    shard.submit(active_workflow(2, vec![large], 2, 0));
    for id in 3..28 {
        shard.now += 1_000;
        let later = ActiveWorkflow {
            accepted: at(shard.now),
            ..active_workflow(id, vec![step(1, 8)], id, 0)
        };
        shard.submit(later);
        let ended = runs[0];
        shard.report(0, &[], &[(id, ended.1, ended.2, RunOutcome::Done)]);
        shard.plan();
        runs = shard.confirm();
    }
    let delays = shard.delays();
    let of_large = delays.lines().filter(|line| line.contains("0002"));
    insta::assert_snapshot!(of_large.collect::<Vec<&str>>().join("\n"), @r#"
    {"event":"waiting","task":"0000000000000002.0.0.0","waited":2000,"reason":"no_processors","label":"","image":"","running":0}
    {"event":"job_overdue","id":"0000000000000002","queue":"queue","work":640000,"tasks":20,"remaining":20,"after":24000,"delay":{"waits":{"no_processors":24000},"overtaken":192000,"throttled":0,"evictions":0}}
    "#);
}

#[test]
fn an_overdue_job_says_how_much_it_was_throttled() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![best_effort(1, 2, "batch")], 1, 2));
    shard.plan();
    let running: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    let task = shard.task(running[0].0);
    shard.scheduler.ledger.tasks[task].speed = 25;
    shard.run_until(6_000, &running);
    insta::assert_snapshot!(shard.delays(), @r#"
    {"event":"job_overdue","id":"0000000000000001","queue":"queue","work":2000,"tasks":1,"remaining":1,"after":6000,"delay":{"waits":{},"overtaken":0,"throttled":1125,"evictions":0}}
    "#);
}

#[test]
fn the_reason_for_a_wait_ignores_workers_without_the_label() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    let labelled = |cores| Step {
        label: Some("rack-w0".to_owned()),
        ..step(1, cores)
    };
    shard.submit(active_workflow(1, vec![labelled(8)], 1, 0));
    shard.plan();
    let running: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    shard.submit(active_workflow(2, vec![labelled(2)], 2, 0));
    while shard.now < 2_000 {
        shard.now += 500;
        shard.report(0, &running, &[]);
        shard.report(1, &[], &[]);
        shard.plan();
    }
    insta::assert_snapshot!(shard.delays(), @r#"{"event":"waiting","task":"0000000000000002.0.0.0","waited":2000,"reason":"no_processors","label":"rack-w0","image":"","running":0}"#);
}

#[test]
fn an_ended_job_says_how_many_of_its_runs_were_stopped() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![step(2, 2)], 1, 0));
    shard.plan();
    let runs = shard.confirm();
    let stopped = shard.task(runs[0].1);
    shard.scheduler.stop(stopped, "it makes no progress", at(0));
    shard.scheduler.cancel(WorkflowId(1), at(10));
    insta::assert_snapshot!(shard.delays(), @r#"{"event":"job_ended","id":"0000000000000001","state":"Cancelled","after":10,"work":4000,"delay":{"waits":{},"overtaken":0,"throttled":0,"evictions":1}}"#);
}

#[test]
fn an_idle_job_says_which_check_leaves_it_no_worker() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.submit(active_workflow(2, vec![best_effort(1, 4, "quiet")], 2, 1));
    shard.plan();
    let running: Vec<_> = shard.confirm().iter().map(|run| (run.1, run.2)).collect();
    let images = &mut shard.scheduler.images;
    let (video, loud) = (images.key("video"), images.key("loud"));
    shard.scheduler.pairs.restore(video, loud, stored(4.0));
    shard.submit(active_workflow(3, vec![best_effort(1, 1, "loud")], 3, 1));
    shard.submit(active_workflow(4, vec![step(1, 9)], 4, 0));
    shard.run_until(2_000, &running);
    insta::assert_snapshot!(shard.idle_jobs(), @r#"
    {"event":"job_idle","id":"0000000000000004","task":"0000000000000004.0.0.0","image":"","idle":1500,"idle_pool":false,"workers":{"open":1,"fitting":0,"harmless":0,"on_target":0}}
    {"event":"job_idle","id":"0000000000000003","task":"0000000000000003.0.0.0","image":"loud","idle":1500,"idle_pool":false,"workers":{"open":1,"fitting":1,"harmless":0,"on_target":1}}
    "#);
}
