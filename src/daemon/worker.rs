//! The two tasks of a worker: one sends orders, one polls the worker.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use super::lines::{DaemonLine, OrderKind};
use super::term::OwnedShard;
use crate::fleet::{StartOrder, StopOrder, WorkerKey};
use crate::journal;
use crate::latency::Span;
use crate::moment::Moment;
use crate::platform::fleet::{WorkerApi, WorkerFault};
use crate::schedule::Order;
use crate::workflow::TaskKey;

/// The delay before an order is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// The delay after a poll without an answer.
const FAILED_POLL_DELAY: Duration = Duration::from_millis(250);
/// The delay between two polls, so that runs that end together are reported
/// together.
const BATCH_DELAY: Duration = Duration::from_millis(30);
/// The delay between two polls while the worker reports ended runs that are not
/// acknowledged yet. It answers such polls immediately.
const UNACKNOWLEDGED_DELAY: Duration = Duration::from_millis(120);

/// Sends the orders for a worker, one at a time.
pub(super) async fn send_orders(
    owned: Arc<OwnedShard>,
    key: WorkerKey,
    api: WorkerApi,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start { task, run } => send_start(&owned, key, &api, task, run).await,
            Order::Stop(stop) => send_stop(&owned, key, &api, &stop).await,
            Order::Throttle(order, percent) => {
                let wanted = owned
                    .decide(|scheduler, now| scheduler.begin_throttle(key, &order, percent, now));
                if !wanted {
                    continue;
                }
                if let Err(fault) = api.throttle(&order, percent).await {
                    handle_fault(&owned, &api, OrderKind::Throttle, &order, &fault);
                }
            }
        }
    }
}

/// Sends copies of a start order until the worker has answered one or the run is
/// obsolete.
async fn send_start(owned: &OwnedShard, key: WorkerKey, api: &WorkerApi, task: TaskKey, run: u64) {
    loop {
        owned.wait_confirmed().await;
        let order = owned.decide(|scheduler, now| scheduler.start_order(key, task, run, now));
        let Some(order) = order else {
            return;
        };
        let sent = Moment::now();
        let fault = match api.start(&order).await {
            Ok(reply) => {
                let took = Moment::now() - sent;
                owned.node.latencies.record(Span::StartOrder, took);
                let stop =
                    owned.decide(|scheduler, now| scheduler.on_start(key, task, run, reply, now));
                return send_withdrawal(owned, key, api, stop).await;
            }
            Err(fault) => fault,
        };
        if !fault.may_have_arrived()
            && owned.decide(|scheduler, now| scheduler.on_start_undelivered(key, task, run, now))
        {
            return owned.wake();
        }
        handle_fault(owned, api, OrderKind::Start, &name_run(&order), &fault);
        match fault {
            WorkerFault::Fenced => return,
            WorkerFault::Replaced => {
                owned.decide(|scheduler, now| scheduler.on_start_misdirected(key, task, run, now));
                return owned.wake();
            }
            WorkerFault::Refused(_) => {
                let stop =
                    owned.decide(|scheduler, now| scheduler.on_start_refused(key, task, run, now));
                return send_withdrawal(owned, key, api, stop).await;
            }
            WorkerFault::Unanswered(_) => {
                let stop = owned
                    .decide(|scheduler, now| scheduler.on_start_unanswered(key, task, run, now));
                if stop.is_some() {
                    return send_withdrawal(owned, key, api, stop).await;
                }
            }
            WorkerFault::ConnectFailed(_) | WorkerFault::ConnectionRefused(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Sends the stop order for a run that was withdrawn, if there is one. It goes before the
/// queued orders, as the task waits for it.
async fn send_withdrawal(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    stop: Option<StopOrder>,
) {
    owned.wake();
    if let Some(stop) = stop {
        send_stop(owned, key, api, &stop).await;
    }
}

async fn send_stop(owned: &OwnedShard, key: WorkerKey, api: &WorkerApi, stop: &StopOrder) {
    while owned.decide(|scheduler, _| scheduler.wants_stop(key, stop)) {
        match api.stop(stop).await {
            Ok(()) => return owned.decide(|scheduler, now| scheduler.on_stop(key, stop, now)),
            Err(WorkerFault::Fenced) => return owned.mark_lost("a worker follows a newer owner"),
            Err(fault) => handle_fault(owned, api, OrderKind::Stop, stop, &fault),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// The run that a start order names.
fn name_run(order: &StartOrder) -> StopOrder {
    StopOrder {
        task: order.task,
        run: order.run,
        fence: order.fence,
    }
}

fn handle_fault(
    owned: &OwnedShard,
    api: &WorkerApi,
    kind: OrderKind,
    order: &StopOrder,
    fault: &WorkerFault,
) {
    if *fault == WorkerFault::Fenced {
        owned.mark_lost("a worker follows a newer owner");
    }
    log_fault(api, kind, order, fault);
}

fn log_fault(api: &WorkerApi, kind: OrderKind, order: &StopOrder, fault: &WorkerFault) {
    let (worker, task) = (api.id(), order.task.to_string());
    let (run, reason) = (order.run, fault.to_string());
    journal::line(&if fault.is_answer() {
        DaemonLine::OrderRefused {
            order: kind,
            worker,
            task,
            run,
            reason,
        }
    } else {
        DaemonLine::OrderUnanswered {
            order: kind,
            worker,
            task,
            run,
            reason,
        }
    });
}

/// Polls a worker continuously and extends the leases of its runs.
pub(super) async fn poll_worker(owned: Arc<OwnedShard>, key: WorkerKey, api: WorkerApi) {
    let mut responsive = true;
    loop {
        let renew = owned.is_confirmed();
        let order = owned.decide(|scheduler, now| scheduler.poll_order(key, renew, now));
        let Some(order) = order else {
            return;
        };
        let sent = Moment::now();
        match api.poll(&order).await {
            Ok(report) => {
                let unacknowledged = owned.decide(|scheduler, now| {
                    scheduler.on_report(key, sent, &report, now);
                    scheduler.has_unacknowledged_ends(key)
                });
                owned.wake();
                log_responsiveness(&api, &mut responsive, None);
                sleep(if unacknowledged {
                    UNACKNOWLEDGED_DELAY
                } else {
                    BATCH_DELAY
                })
                .await;
            }
            Err(WorkerFault::Fenced) => return owned.mark_lost("a worker follows a newer owner"),
            Err(fault) => {
                if fault == WorkerFault::Replaced {
                    owned.decide(|scheduler, now| scheduler.on_replaced(key, now));
                }
                let refused = matches!(fault, WorkerFault::ConnectionRefused(_));
                owned.decide(|scheduler, _| scheduler.on_poll_failed(key, refused));
                log_responsiveness(&api, &mut responsive, Some(&fault));
                sleep(FAILED_POLL_DELAY).await;
            }
        }
    }
}

fn log_responsiveness(api: &WorkerApi, responsive: &mut bool, fault: Option<&WorkerFault>) {
    let answered = fault.is_none();
    if std::mem::replace(responsive, answered) == answered {
        return;
    }
    match fault {
        Some(fault) => log::warn!("worker {} does not respond: {fault}", api.id()),
        None => log::info!("worker {} responds again", api.id()),
    }
}
