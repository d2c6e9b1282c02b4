//! Connections to the platform and to the nodes.

use std::{env, time::Duration};

use bytes::Bytes;
use dottereltally_lib::id;
use dottereltally_store::{
    etcd,
    host::{self, List},
    hosts,
    http::{Client, Limit},
};
use eyre::{WrapErr, ensure};
use futures_util::future;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const KV: &str = "DOTTERELTALLY_KV";
const HOSTS: &str = "DOTTERELTALLY_HOSTS";

/// Where the platform is.
#[derive(Clone, Debug)]
pub struct Connection {
    kv: Vec<String>,
    hosts: Option<String>,
}

/// What one node says of itself.
#[derive(Debug)]
pub struct Report {
    /// Its entry in the host list.
    pub entry: host::Entry,
    /// Its status page.
    pub status: eyre::Result<Value>,
}

impl Report {
    /// Returns the generation that the node has in force, zero if unknown.
    pub fn generation(&self) -> id::Generation {
        let status = self.status.as_ref().ok();
        let generation = status.and_then(|status| status["generation"].as_u64());
        id::Generation(generation.unwrap_or_default())
    }
}

impl Connection {
    /// Builds a connection from the options, else from the environment.
    pub fn new(kv: Vec<String>, hosts: Option<String>) -> Self {
        let mut addresses = kv;
        if addresses.is_empty() {
            let listed = env::var(KV).unwrap_or_default();
            let named = listed.split(',').filter(|address| !address.is_empty());
            addresses.extend(named.map(str::to_owned));
        }
        Self {
            kv: addresses,
            hosts: hosts.or_else(|| env::var(HOSTS).ok()),
        }
    }

    /// Returns a client of the key-value service.
    ///
    /// # Errors
    ///
    /// Fails if no address was given.
    pub fn store(&self) -> eyre::Result<etcd::Store> {
        ensure!(
            !self.kv.is_empty(),
            "no key-value service; give `--kv IP:PORT` before the command or set {KV}"
        );
        Ok(etcd::Store::new(self.kv.clone(), CALL_TIMEOUT))
    }

    /// Asks every node of the host list for its status.
    ///
    /// # Errors
    ///
    /// Fails if the host list can't be read.
    pub async fn reports(&self) -> eyre::Result<Vec<Report>> {
        let address = self.hosts.as_deref();
        let address = address.ok_or_else(|| {
            eyre::eyre!(
                "no host list; give `--hosts http://IP:PORT/PATH` before the command or set {HOSTS}"
            )
        })?;
        let list = hosts::List::new(address, CALL_TIMEOUT)?;
        let snapshot = list.read().await?;
        let reports = snapshot.entries.into_iter().map(|entry| async {
            let status = status(&entry.operations).await;
            Report { entry, status }
        });
        Ok(future::join_all(reports).await)
    }

    /// Returns the highest generation that a node has in force, zero if none
    /// can be asked.
    pub async fn highest_generation(&self) -> id::Generation {
        let reports = self.reports().await.unwrap_or_default();
        let generations = reports.iter().map(Report::generation);
        generations.max().unwrap_or_default()
    }
}

async fn status(address: &str) -> eyre::Result<Value> {
    let client = Client::new(address.to_owned());
    let request = Request::get("/status")
        .header("host", address)
        .body(Full::<Bytes>::default())?;
    let answer = client
        .call(&request, Limit::of(CALL_TIMEOUT))
        .await
        .wrap_err_with(|| format!("{address} can't be asked; check the node and the network"))?;
    serde_json::from_slice(&answer.body).wrap_err("the status page is not JSON")
}
