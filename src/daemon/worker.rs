//! The two tasks of a worker: one for orders, one for looks.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use super::lines::DaemonLine;
use super::term::Reign;
use crate::fleet::{StopOrder, WorkerKey};
use crate::journal;
use crate::latency::Span;
use crate::moment::Moment;
use crate::platform::fleet::{WorkerApi, WorkerFault};
use crate::schedule::Order;
use crate::workflow::TaskKey;

/// Between two tries of an order.
const RETRY: Duration = Duration::from_millis(60);
/// Between looks at a worker that does not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(250);
/// The shortest time between two looks: ends that come together are read together.
const GATHER: Duration = Duration::from_millis(30);
/// The same while the worker lists ends that it may not forget yet; it answers
/// at once then.
const LISTED: Duration = Duration::from_millis(120);

/// Sends a worker its orders, one after the other.
pub(super) async fn carry_orders(
    reign: Arc<Reign>,
    key: WorkerKey,
    api: WorkerApi,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start { task, run } => start(&reign, key, &api, task, run).await,
            Order::Stop(stop) => carry_stop(&reign, key, &api, &stop).await,
            Order::Throttle(run, percent) => {
                if let Err(fault) = api.pace(&run, percent).await {
                    note_fault(&reign, &api, &run, &fault);
                }
            }
        }
    }
}

async fn start(reign: &Reign, key: WorkerKey, api: &WorkerApi, task: TaskKey, run: u64) {
    let mut doubtful = false;
    loop {
        reign.wait_confirmed().await;
        let order = reign.decide(|scheduler, now| scheduler.start_order(key, task, run, now));
        let Some(order) = order else {
            return;
        };
        let sent = Moment::now();
        match api.start(&order).await {
            Ok(reply) => {
                let took = Moment::now() - sent;
                reign.node.latencies.record(Span::StartOrder, took);
                reign.decide(|scheduler, now| scheduler.on_start(key, task, run, reply, now));
                return;
            }
            Err(WorkerFault::Deposed) => return reign.lose("a worker follows a newer owner"),
            Err(WorkerFault::Refused(reason)) => {
                log::warn!("worker {} refused {}: {reason}", api.id(), order.task);
                reign.decide(|scheduler, now| scheduler.on_start_refused(key, task, run, now));
                return reign.wake();
            }
            Err(WorkerFault::Unreached(_) | WorkerFault::NobodyThere(_)) if !doubtful => {
                reign.decide(|scheduler, now| scheduler.on_start_undelivered(key, task, run, now));
                return reign.wake();
            }
            Err(fault) => {
                doubtful = true;
                let run = StopOrder {
                    task: order.task,
                    run,
                    fence: order.fence,
                };
                note_fault(reign, api, &run, &fault);
            }
        }
        sleep(RETRY).await;
    }
}

async fn carry_stop(reign: &Reign, key: WorkerKey, api: &WorkerApi, stop: &StopOrder) {
    while reign.decide(|scheduler, _| scheduler.wants_stop(key, stop)) {
        match api.stop(stop).await {
            Ok(()) => return reign.decide(|scheduler, now| scheduler.on_stop(key, stop, now)),
            Err(WorkerFault::Deposed) => return reign.lose("a worker follows a newer owner"),
            Err(fault) => note_fault(reign, api, stop, &fault),
        }
        sleep(RETRY).await;
    }
}

fn note_fault(reign: &Reign, api: &WorkerApi, order: &StopOrder, fault: &WorkerFault) {
    if *fault == WorkerFault::Deposed {
        reign.lose("a worker follows a newer owner");
    }
    journal::line(&DaemonLine::OrderUnanswered {
        worker: api.id(),
        task: order.task.to_string(),
        run: order.run,
        reason: fault.to_string(),
    });
}

/// Looks at a worker again and again, and prolongs its leases.
pub(super) async fn keep_looking(reign: Arc<Reign>, key: WorkerKey, api: WorkerApi) {
    let mut answers = true;
    loop {
        let renew = reign.is_confirmed();
        let order = reign.decide(|scheduler, now| scheduler.poll_order(key, renew, now));
        let Some(order) = order else {
            return;
        };
        let sent = Moment::now();
        match api.look(&order).await {
            Ok(look) => {
                let listed = reign.decide(|scheduler, now| {
                    scheduler.on_report(key, sent, &look, now);
                    scheduler.has_unacknowledged_ends(key)
                });
                reign.wake();
                note_reach(&api, &mut answers, None);
                sleep(if listed { LISTED } else { GATHER }).await;
            }
            Err(WorkerFault::Deposed) => return reign.lose("a worker follows a newer owner"),
            Err(fault) => {
                let refused = matches!(fault, WorkerFault::NobodyThere(_));
                reign.decide(|scheduler, _| scheduler.on_poll_failed(key, refused));
                note_reach(&api, &mut answers, Some(&fault));
                sleep(SILENT_PAUSE).await;
            }
        }
    }
}

fn note_reach(api: &WorkerApi, answers: &mut bool, fault: Option<&WorkerFault>) {
    let answered = fault.is_none();
    if std::mem::replace(answers, answered) == answered {
        return;
    }
    match fault {
        Some(fault) => log::warn!("worker {} does not answer: {fault}", api.id()),
        None => log::info!("worker {} answers again", api.id()),
    }
}
