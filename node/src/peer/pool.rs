//! The pool of client connections, one per peer.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use tokio::sync::Mutex;

use crate::peer::{
    connection::{Call, Connection, Reply},
    metrics::Metrics,
};

/// Time without a call after which a connection to a peer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// The connection to one peer, if open; locked while a connection is opened, so
/// that concurrent calls share it.
type Slot = Rc<Mutex<Option<Rc<Connection>>>>;

/// The connections to peers by address.
#[derive(Clone)]
pub struct Pool {
    slots: Rc<RefCell<HashMap<String, Slot>>>,
    metrics: Metrics,
}

impl Pool {
    /// Builds an empty pool.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            slots: Rc::default(),
            metrics,
        }
    }

    /// Makes an idempotent call: if it fails or times out on a reused
    /// connection, it is repeated on a new one.
    ///
    /// # Errors
    ///
    /// Fails if the call fails on a new connection.
    pub async fn call(&self, address: &str, call: &Call) -> capnp::Result<Reply> {
        self.metrics.calls.inc();
        let result = self.call_with_retry(address, call).await;
        if result.is_err() {
            self.metrics.failures.inc();
        }
        result
    }

    /// Makes a call that must not be repeated.
    ///
    /// # Errors
    ///
    /// Fails if the call fails; the peer may still have handled it.
    pub async fn call_once(&self, address: &str, call: &Call) -> capnp::Result<Reply> {
        self.metrics.calls.inc();
        let slot = self.slot(address);
        let (connection, _) = self.connection(address, &slot).await?;
        let result = connection.call(call).await;
        if result.is_err() {
            self.discard(&slot, &connection).await;
            self.metrics.failures.inc();
        }
        result
    }

    /// Closes the connections that have been idle for longer than the limit.
    pub fn close_idle(&self) {
        self.slots.borrow_mut().retain(|_, slot| {
            // A call in progress holds a reference to its slot.
            if Rc::strong_count(slot) > 1 {
                return true;
            }
            let Ok(connection) = slot.try_lock() else {
                return true;
            };
            connection
                .as_ref()
                .is_some_and(|connection| connection.idle() < IDLE_TIMEOUT)
        });
    }

    async fn call_with_retry(&self, address: &str, call: &Call) -> capnp::Result<Reply> {
        let slot = self.slot(address);
        let (connection, reused) = self.connection(address, &slot).await?;
        let error = match connection.call(call).await {
            Ok(reply) => return Ok(reply),
            Err(error) => error,
        };
        self.discard(&slot, &connection).await;
        if !reused {
            return Err(error);
        }
        let (connection, _) = self.connection(address, &slot).await?;
        let result = connection.call(call).await;
        if result.is_err() {
            self.discard(&slot, &connection).await;
        }
        result
    }

    fn slot(&self, address: &str) -> Slot {
        let mut slots = self.slots.borrow_mut();
        slots.entry(address.to_owned()).or_default().clone()
    }

    /// Returns the open connection or else a new one, and whether it is reused.
    async fn connection(
        &self,
        address: &str,
        slot: &Slot,
    ) -> capnp::Result<(Rc<Connection>, bool)> {
        let mut current = slot.lock().await;
        if let Some(connection) = current.as_ref() {
            return Ok((connection.clone(), true));
        }
        let connection = Rc::new(Connection::open(address, &self.metrics).await?);
        *current = Some(connection.clone());
        Ok((connection, false))
    }

    /// Discards a connection unless it has been replaced already.
    async fn discard(&self, slot: &Slot, connection: &Rc<Connection>) {
        let mut current = slot.lock().await;
        if current
            .as_ref()
            .is_some_and(|open| Rc::ptr_eq(open, connection))
        {
            *current = None;
            self.metrics.replaced.inc();
        }
    }
}
