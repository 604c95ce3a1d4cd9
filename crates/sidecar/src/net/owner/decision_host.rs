//! Performs the actions of the decision engine, on the request table and the owner's services.

use super::event::{Event, FinalResponse};
use super::request_table::RequestTable;
use crate::invariants::must_hold;
use landingspread_decisions::host::{Event as DecisionEvent, Host, Id, LoadReport, Outcome};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

/// The decision engine's access to the request table. The decision engine makes these calls while the event loop is
/// calling it, so they must never call the decision engine.
pub(super) struct DecisionHost(pub(super) Rc<RefCell<RequestTable>>);

impl Host for DecisionHost {
    fn start_attempt(&mut self, request: &Id, server: &Id, deadline: Duration) {
        self.0.borrow_mut().start_attempt(request, server, deadline);
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.0.borrow_mut().finish(request, FinalResponse::Rejected(retry_after));
    }

    fn fail(&mut self, request: &Id) {
        self.0.borrow_mut().finish(request, FinalResponse::Failed);
    }

    fn cancel_attempt(&mut self, request: &Id, attempt: u32) {
        self.0.borrow_mut().cancel(request, attempt);
    }

    fn check_health(&mut self, server: &Id) {
        let table = self.0.borrow();
        let Some(target) = table.target(server) else {
            table.queue.push(Event::HealthCheckEnded(
                server.clone(),
                Outcome::NotSent,
                LoadReport::default(),
            ));
            return;
        };
        let (upstream, queue) = (table.services.upstream.clone(), table.queue.clone());
        let check = async move {
            let (outcome, load) = upstream.check_health(&target).await;
            queue.push(Event::HealthCheckEnded(target.server, outcome, load));
        };
        table.executor.spawn(check).detach();
    }

    fn wake_after(&mut self, delay: Duration) {
        let mut table = self.0.borrow_mut();
        let at = table.clock.now() + delay;
        table.wake_times.push(Reverse(at));
    }

    fn poll_discovery(&mut self) {
        // A request that is already pending covers this one.
        let _ = self.0.borrow().services.poll_discovery.try_send(());
    }

    fn close_idle_connections(&mut self, server: &Id) {
        self.0.borrow().services.pool.close_idle_to(server);
    }

    fn send_to_peers(&mut self, peer: Option<u32>, message: &[u8]) {
        if let Some(peers) = &self.0.borrow().services.peers {
            peers.send(peer, message);
        }
    }

    fn log(&mut self, event: &DecisionEvent) {
        match event {
            DecisionEvent::SlowStartViolated(server) => {
                must_hold!(SlowStart, false, "attempt to {server} without slow-start credit");
            }
            DecisionEvent::Ejected(server) => tracing::info!("server {server} ejected"),
            DecisionEvent::Returned(server) => tracing::info!("server {server} returned, in slow start"),
        }
    }
}
