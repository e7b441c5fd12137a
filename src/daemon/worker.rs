//! The two tasks of a worker: one sends orders, one polls the worker.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use super::lines::{DaemonLine, OrderKind, OrderLease};
use super::owned::{Connection, OwnedShard};
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
const UNACKNOWLEDGED_DELAY: Duration = Duration::from_millis(200);

/// Starts the two tasks of a worker: one sends orders, one polls it. They replace those for
/// an earlier address of the worker.
pub(super) fn attach(owned: &Arc<OwnedShard>, key: WorkerKey) {
    let entry = owned.decide(|scheduler, _| {
        scheduler
            .workers
            .get(key)
            .map(|worker| worker.registration.clone())
    });
    let Some(entry) = entry else {
        return;
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    let api = owned.node.worker(&entry.id, entry.address);
    let send = send_orders(owned.clone(), key, api.clone(), receiver);
    let poll = poll_worker(owned.clone(), key, api);
    let connection = Connection {
        orders: sender,
        tasks: [owned.spawn(send), owned.spawn(poll)],
    };
    owned.connect_worker(key, connection);
}

/// Sends the orders for a worker, one at a time. An order that is not settled is sent
/// again after a delay and does not hold up the others.
pub(super) async fn send_orders(
    owned: Arc<OwnedShard>,
    key: WorkerKey,
    api: WorkerApi,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    let mut unsettled = VecDeque::new();
    let mut retry_at = Instant::now();
    loop {
        tokio::select! {
            order = orders.recv() => {
                let Some(order) = order else {
                    return;
                };
                let first = unsettled.is_empty();
                unsettled.extend(send_order(&owned, key, &api, order).await);
                if first {
                    retry_at = Instant::now() + RETRY_DELAY;
                }
            }
            () = sleep_until(retry_at), if !unsettled.is_empty() => {
                for order in std::mem::take(&mut unsettled) {
                    unsettled.extend(send_order(&owned, key, &api, order).await);
                }
                retry_at = Instant::now() + RETRY_DELAY;
            }
        }
    }
}

/// Sends one copy of an order, and the stop order that follows a start which is
/// withdrawn. Returns the order that is not settled.
async fn send_order(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    order: Order,
) -> Option<Order> {
    let unsettled = send_copy(owned, key, api, order).await?;
    match (order, unsettled) {
        (Order::Start { .. }, Order::Stop(_)) => send_copy(owned, key, api, unsettled).await,
        _ => Some(unsettled),
    }
}

/// Sends one copy of an order. Returns the order that has to follow, which may be the
/// same one.
async fn send_copy(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    order: Order,
) -> Option<Order> {
    match order {
        Order::Start { task, run } => send_start(owned, key, api, task, run).await,
        Order::Stop(stop) => send_stop(owned, key, api, stop).await,
        Order::Throttle(run, percent) => send_throttle(owned, key, api, run, percent).await,
    }
}

async fn send_start(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    task: TaskKey,
    run: u64,
) -> Option<Order> {
    owned.wait_confirmed().await;
    if owned.decide(|scheduler, _| scheduler.holds_repeat(key, task, run)) {
        return Some(Order::Start { task, run });
    }
    let withdrawn = owned.decide(|scheduler, now| scheduler.withdraw_repeat(key, task, run, now));
    if let Some(stop) = withdrawn {
        return Some(Order::Stop(stop));
    }
    let order = owned.decide(|scheduler, now| scheduler.start_order(key, task, run, now));
    let Some(order) = order else {
        // The task may wait again, for another worker.
        owned.wake();
        return None;
    };
    let sent = Moment::now();
    let fault = match api.start(&order).await {
        Ok(answer) => {
            let took = Moment::now() - sent;
            owned.node.latencies.record(Span::StartOrder, took);
            let stop = owned.decide(|scheduler, now| {
                scheduler.check_clock(key, task, answer, sent, now);
                scheduler.on_start(key, task, run, answer.reply, now)
            });
            owned.wake();
            return stop.map(Order::Stop);
        }
        Err(fault) => fault,
    };
    if !fault.may_have_arrived()
        && owned.decide(|scheduler, now| scheduler.on_start_undelivered(key, task, run, now))
    {
        owned.wake();
        return None;
    }
    let lease = OrderLease {
        lease_end: order.lease_end,
        incarnation: order.incarnation,
    };
    let is_lost = handle_fault(
        owned,
        key,
        api,
        OrderKind::Start,
        &name_run(&order),
        Some(lease),
        &fault,
    );
    let repeated = Order::Start { task, run };
    match fault {
        WorkerFault::Fenced => (!is_lost).then_some(repeated),
        WorkerFault::Replaced => {
            owned.decide(|scheduler, now| scheduler.on_start_misdirected(key, task, run, now));
            owned.wake();
            None
        }
        WorkerFault::Refused(_) => {
            let stop =
                owned.decide(|scheduler, now| scheduler.on_start_refused(key, task, run, now));
            owned.wake();
            stop.map(Order::Stop)
        }
        WorkerFault::Unanswered(_) => {
            let stop =
                owned.decide(|scheduler, now| scheduler.on_start_unanswered(key, task, run, now));
            Some(stop.map_or(repeated, Order::Stop))
        }
        WorkerFault::ConnectFailed(_) | WorkerFault::ConnectionRefused(_) => Some(repeated),
    }
}

async fn send_stop(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    stop: StopOrder,
) -> Option<Order> {
    if !owned.decide(|scheduler, _| scheduler.wants_stop(key, &stop)) {
        return None;
    }
    let stop = owned.decide(|scheduler, _| scheduler.with_fence(key, stop));
    match api.stop(&stop).await {
        Ok(()) => owned.decide(|scheduler, now| scheduler.on_stop(key, &stop, now)),
        Err(fault) => {
            let is_lost = handle_fault(owned, key, api, OrderKind::Stop, &stop, None, &fault);
            return (!is_lost).then_some(Order::Stop(stop));
        }
    }
    None
}

/// Sends a throttle order once its run is no longer starting; reports show whether it took
/// effect.
async fn send_throttle(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    run: StopOrder,
    percent: u8,
) -> Option<Order> {
    if owned.decide(|scheduler, _| scheduler.is_starting(key, &run)) {
        return Some(Order::Throttle(run, percent));
    }
    let wanted = owned.decide(|scheduler, now| scheduler.begin_throttle(key, &run, percent, now));
    let run = owned.decide(|scheduler, _| scheduler.with_fence(key, run));
    if wanted && let Err(fault) = api.throttle(&run, percent).await {
        handle_fault(owned, key, api, OrderKind::Throttle, &run, None, &fault);
    }
    None
}

/// The run that a start order names.
fn name_run(order: &StartOrder) -> StopOrder {
    StopOrder {
        task: order.task,
        run: order.run,
        fence: order.fence,
    }
}

/// Logs the fault of an order. Returns whether it ends the ownership: the worker follows a newer
/// owner, and not a later order of this one.
fn handle_fault(
    owned: &OwnedShard,
    key: WorkerKey,
    api: &WorkerApi,
    kind: OrderKind,
    order: &StopOrder,
    lease: Option<OrderLease>,
    fault: &WorkerFault,
) -> bool {
    log_fault(api, kind, order, lease, fault);
    *fault == WorkerFault::Fenced && check_superseded(owned, key, order.fence)
}

/// Ends the ownership if a worker that refuses a fencing token follows a newer owner. Returns
/// whether it does.
fn check_superseded(owned: &OwnedShard, key: WorkerKey, fence: u64) -> bool {
    let superseded = owned.decide(|scheduler, _| scheduler.is_superseded(key, fence));
    if superseded {
        owned.mark_lost("a worker follows a newer owner");
    }
    superseded
}

fn log_fault(
    api: &WorkerApi,
    kind: OrderKind,
    order: &StopOrder,
    lease: Option<OrderLease>,
    fault: &WorkerFault,
) {
    let (worker, task) = (api.id(), order.task.to_string());
    let (run, reason) = (order.run, fault.to_string());
    journal::line(&if fault.is_answer() {
        DaemonLine::OrderRefused {
            order: kind,
            worker,
            task,
            run,
            lease,
            reason,
        }
    } else {
        DaemonLine::OrderUnanswered {
            order: kind,
            worker,
            task,
            run,
            lease,
            reason,
        }
    });
}

/// Polls a worker continuously and extends the leases of its runs.
async fn poll_worker(owned: Arc<OwnedShard>, key: WorkerKey, api: WorkerApi) {
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
            Err(WorkerFault::Fenced) => {
                if check_superseded(&owned, key, order.fence) {
                    return;
                }
                log::warn!("worker {} got a poll after a later order", api.id());
                sleep(BATCH_DELAY).await;
            }
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
