//! Silence of a stand-in: it accepts connections and reads requests, but sends nothing until the silence ends.

use std::future::Future;
use std::sync::Arc;

use httpio::{HttpBody, Response, StatusCode};
use tokio::sync::{Mutex, watch};

/// A switch that holds back every response of a server while it is on. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct SilenceSwitch {
    state: Arc<watch::Sender<SilenceState>>,
    /// Held by the request that is handled next, so that they are handled in the order in which they were received.
    turn: Arc<Mutex<()>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SilenceState {
    is_silent: bool,
    /// Number of silences that ended with the loss of what was held back.
    losses: u64,
}

impl SilenceSwitch {
    /// Begins or ends a silence. What was held back is sent at its end.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.send_modify(|it| it.is_silent = is_silent);
    }

    /// Ends a silence in which everything received was lost: it is never answered, and connections stay open.
    pub fn end_with_loss(&self) {
        self.state.send_modify(|it| {
            it.is_silent = false;
            it.losses += 1;
        });
    }

    /// Returns once there is no silence, or never if what was received is lost.
    pub(crate) async fn wait(&self) {
        let losses = self.state.borrow().losses;
        if !self.wait_for_end(losses).await {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for the end of a silence; returns whether it ended without a loss since there were `losses`.
    async fn wait_for_end(&self, losses: u64) -> bool {
        let mut state = self.state.subscribe();
        let current = state.wait_for(|it| !it.is_silent).await;
        // The switch owns the sender, so the wait cannot fail.
        current.is_ok_and(|it| it.losses == losses)
    }

    /// Handles a request with `work` outside a silence, and holds back the response to one that was begun before.
    ///
    /// As with a suspended process, a request that was received is handled after the silence even if its client has
    /// left.
    pub(crate) async fn handle(
        &self,
        work: impl Future<Output = Response<HttpBody>> + Send + 'static,
    ) -> Response<HttpBody> {
        let switch = self.clone();
        let losses = self.state.borrow().losses;
        let handled = tokio::spawn(async move {
            let turn = switch.turn.lock().await;
            let is_lost = !switch.wait_for_end(losses).await;
            drop(turn);
            if is_lost {
                std::future::pending::<()>().await;
            }
            let response = work.await;
            switch.wait().await;
            response
        });
        handled.await.unwrap_or_else(|_| {
            let mut response = Response::new(httpio::empty());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        })
    }
}
