//! Access to the platform's services and to the nodes.

use std::{env, time::Duration};

use bytes::Bytes;
use dottereltally_lib::id;
use dottereltally_store::{
    etcd,
    host::{self, List},
    host_list,
    http::{Client, Deadlines},
};
use eyre::{WrapErr, ensure};
use futures_util::future;
use http::Request;
use http_body_util::Full;
use serde_json::Value;

/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Environment variable with the addresses of the key-value service.
const KV_VARIABLE: &str = "DOTTERELTALLY_KV";
/// Environment variable with the address of the host list.
const HOSTS_VARIABLE: &str = "DOTTERELTALLY_HOSTS";

/// Addresses of the platform's services.
#[derive(Clone, Debug)]
pub struct Platform {
    kv: Vec<String>,
    hosts: Option<String>,
}

/// Status of one node.
#[derive(Debug)]
pub struct Report {
    /// Entry of the node in the host list.
    pub entry: host::Entry,
    /// Status page of the node, or why it could not be read.
    pub status: eyre::Result<Value>,
}

impl Report {
    /// Returns the generation that the node has in force, or zero if it is
    /// unknown.
    pub fn generation(&self) -> id::Generation {
        let status = self.status.as_ref().ok();
        let generation = status.and_then(|status| status["generation"].as_u64());
        id::Generation(generation.unwrap_or_default())
    }
}

impl Platform {
    /// Takes the addresses from the options, or from the environment if an
    /// option is not given.
    pub fn new(kv: Vec<String>, hosts: Option<String>) -> Self {
        let mut addresses = kv;
        if addresses.is_empty() {
            let variable = env::var(KV_VARIABLE).unwrap_or_default();
            let parts = variable.split(',').filter(|address| !address.is_empty());
            addresses.extend(parts.map(str::to_owned));
        }
        Self {
            kv: addresses,
            hosts: hosts.or_else(|| env::var(HOSTS_VARIABLE).ok()),
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
            "no key-value service; give `--kv IP:PORT` before the command or set {KV_VARIABLE}"
        );
        Ok(etcd::Store::new(self.kv.clone(), CALL_TIMEOUT))
    }

    /// Reads the status of every node of the host list.
    ///
    /// # Errors
    ///
    /// Fails if the host list can't be read.
    pub async fn reports(&self) -> eyre::Result<Vec<Report>> {
        let address = self.hosts.as_deref();
        let address = address.ok_or_else(|| {
            eyre::eyre!(
                "no host list; give `--hosts http://IP:PORT/PATH` before the command or set {HOSTS_VARIABLE}"
            )
        })?;
        let list = host_list::List::new(address, CALL_TIMEOUT)?;
        let snapshot = list.read().await?;
        let reports = snapshot.entries.into_iter().map(|entry| async {
            let status = fetch_status(&entry.operations).await;
            Report { entry, status }
        });
        Ok(future::join_all(reports).await)
    }

    /// Returns the highest generation that a node has in force, or zero if no
    /// node answers.
    pub async fn highest_generation(&self) -> id::Generation {
        let reports = self.reports().await.unwrap_or_default();
        let generations = reports.iter().map(Report::generation);
        generations.max().unwrap_or_default()
    }
}

async fn fetch_status(address: &str) -> eyre::Result<Value> {
    let client = Client::new(address.to_owned());
    let request = Request::get("/status")
        .header("host", address)
        .body(Full::<Bytes>::default())?;
    let answer = client
        .call(&request, Deadlines::after(CALL_TIMEOUT))
        .await
        .wrap_err_with(|| format!("no status from {address}; check the node and the network"))?;
    serde_json::from_slice(&answer.body).wrap_err("the status page is not JSON")
}
