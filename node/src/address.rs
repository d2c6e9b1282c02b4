//! The addresses of the endpoints, as the host list gives them.

use std::{
    collections::HashMap,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, Ordering},
    },
};

use dottereltally_lib::{endpoint, id};

use tokio::sync::watch;

use crate::{dispatcher::Resolve, hosts};

/// Maps endpoints to their addresses; clones share the map.
#[derive(Clone, Debug, Default)]
pub struct Book {
    addresses: Arc<RwLock<HashMap<id::Endpoint, String>>>,
    loaded: Arc<AtomicBool>,
}

impl Book {
    /// Replaces all addresses by those of the records.
    pub fn replace(&self, records: &[endpoint::Record]) {
        let mut addresses = HashMap::with_capacity(records.len());
        for record in records {
            addresses.insert(record.id.clone(), record.address.clone());
        }
        *self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
        self.loaded.store(true, Ordering::Release);
    }

    /// Returns whether a host list has been loaded.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    /// Keeps the addresses up to date with the host list.
    ///
    /// Returns a receiver that gets each snapshot only after its addresses
    /// were stored, so that no reader learns of an endpoint whose address is
    /// still unknown.
    #[must_use]
    pub fn follow(&self, mut hosts: hosts::Receiver) -> hosts::Receiver {
        let (sender, receiver) = watch::channel(None);
        let book = self.clone();
        tokio::spawn(async move {
            loop {
                let snapshot = hosts.borrow_and_update().clone();
                if let Some(snapshot) = snapshot {
                    book.replace(&snapshot.endpoints);
                    sender.send_replace(Some(snapshot));
                }
                tokio::select! {
                    changed = hosts.changed() => if changed.is_err() {
                        break;
                    },
                    () = sender.closed() => break,
                }
            }
        });
        receiver
    }

    /// Returns the address of an endpoint, if it is known.
    #[must_use]
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<String> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.get(endpoint).cloned()
    }

    /// Returns a function that looks up addresses in this book.
    #[must_use]
    pub fn resolver(&self) -> Resolve {
        let book = self.clone();
        Arc::new(move |endpoint| book.get(endpoint))
    }
}
