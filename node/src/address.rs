//! Addresses of the endpoints.

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

/// Addresses by endpoint; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Book {
    addresses: Arc<RwLock<HashMap<id::Endpoint, String>>>,
    read: Arc<AtomicBool>,
}

impl Book {
    /// Replaces all addresses.
    pub fn replace(&self, records: &[endpoint::Record]) {
        let mut addresses = HashMap::with_capacity(records.len());
        for record in records {
            addresses.insert(record.id.clone(), record.address.clone());
        }
        *self
            .addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
        self.read.store(true, Ordering::Release);
    }

    /// Returns whether a host list has been read.
    #[must_use]
    pub fn is_read(&self) -> bool {
        self.read.load(Ordering::Acquire)
    }

    /// Follows the host list; returns it as far as the book has it, so that
    /// no endpoint is known elsewhere before its address is.
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

    /// Returns the address of an endpoint.
    #[must_use]
    pub fn get(&self, endpoint: &id::Endpoint) -> Option<String> {
        let addresses = self
            .addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        addresses.get(endpoint).cloned()
    }

    /// Returns the book as a function.
    #[must_use]
    pub fn resolve(&self) -> Resolve {
        let book = self.clone();
        Arc::new(move |endpoint| book.get(endpoint))
    }
}
