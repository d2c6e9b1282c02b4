//! A whole deployment on this machine: stand-ins and nodes as processes.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use eyre::{Result, WrapErr, bail, eyre};
use http::Method;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use tempfile::TempDir;

use crate::{
    client::{self, Call},
    process::{self, Process},
    wait::eventually,
};

/// Number of lines of each log that are shown when a test panics.
const SHOWN_LOG_LINES: usize = 25;

/// An endpoint and how it is listed.
#[derive(Debug)]
struct Endpoint {
    process: Process,
    program: String,
    service: String,
    data_centre: String,
    leaving: bool,
}

/// A node and how it is listed.
#[derive(Debug)]
struct Node {
    process: Process,
    data_centre: String,
    leaving: bool,
}

/// Stand-ins and nodes; all end when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    directory: TempDir,
    kv: Process,
    hosts: Process,
    endpoints: BTreeMap<String, Endpoint>,
    nodes: BTreeMap<String, Node>,
    overrides: String,
    generation: AtomicU64,
}

impl Deployment {
    /// Starts the platform's stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if a program is not built or does not start.
    pub async fn start() -> Result<Self> {
        let directory = TempDir::new()?;
        let log = |name: &str| directory.path().join(format!("{name}.log"));
        let kv = Process::start("kv", &[], &log("kv")).await?;
        let hosts = Process::start("hosts", &[], &log("hosts")).await?;
        Ok(Self {
            directory,
            kv,
            hosts,
            endpoints: BTreeMap::new(),
            nodes: BTreeMap::new(),
            overrides: String::new(),
            generation: AtomicU64::new(0),
        })
    }

    /// Adds lines to the settings of the nodes that are started from now on.
    pub fn add_settings(&mut self, yaml: &str) {
        self.overrides.push_str(yaml);
        self.overrides.push('\n');
    }

    /// Starts a model engine that has these models.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_engine(
        &mut self,
        name: &str,
        service: &str,
        data_centre: &str,
        models: &[&str],
    ) -> Result<()> {
        self.add_endpoint("engine", name, service, data_centre)
            .await?;
        self.switch(name, &json!({"models": models})).await
    }

    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_ledger(&mut self, name: &str, service: &str, data_centre: &str) -> Result<()> {
        self.add_endpoint("ledger", name, service, data_centre)
            .await
    }

    async fn add_endpoint(
        &mut self,
        program: &str,
        name: &str,
        service: &str,
        data_centre: &str,
    ) -> Result<()> {
        let endpoint = Endpoint {
            process: Process::start(program, &[], &self.log(name)).await?,
            program: program.to_owned(),
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.endpoints.insert(name.to_owned(), endpoint);
        self.publish().await
    }

    /// Starts an endpoint again at its address.
    ///
    /// # Errors
    ///
    /// Fails if it is not known or does not start.
    pub async fn restart_endpoint(&mut self, name: &str) -> Result<()> {
        let log = self.log(name);
        let endpoint = self.endpoints.get_mut(name).ok_or_else(|| unknown(name))?;
        endpoint.process.kill().await?;
        let address = endpoint.process.address("address");
        let arguments = ["--listen", address.as_str()];
        endpoint.process = Process::start(&endpoint.program, &arguments, &log).await?;
        Ok(())
    }

    /// Starts a node and lists it.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_node(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let settings = self.write_settings(name, data_centre)?;
        let arguments = ["--settings", text(&settings)?];
        let node = Node {
            process: Process::start("dottereltally", &arguments, &self.log(name)).await?,
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.nodes.insert(name.to_owned(), node);
        self.publish().await
    }

    /// Kills a node and starts it again under its name, at new addresses.
    ///
    /// # Errors
    ///
    /// Fails if it is not known or does not start.
    pub async fn restart_node(&mut self, name: &str) -> Result<()> {
        let node = self.nodes.get_mut(name).ok_or_else(|| unknown(name))?;
        node.process.kill().await?;
        let data_centre = node.data_centre.clone();
        self.add_node(name, &data_centre).await
    }

    fn write_settings(&self, name: &str, data_centre: &str) -> Result<PathBuf> {
        let path = self.directory.path().join(format!("{name}.yaml"));
        let any = "127.0.0.1:0";
        let yaml = format!(
            "node: {name}\n\
             data_centre: {data_centre}\n\
             listen: {{callers: \"{any}\", peers: \"{any}\", operations: \"{any}\"}}\n\
             platform: {{kv: [\"{}\"], hosts: \"{}\", timeout: 1s}}\n\
             {}",
            self.kv_address(),
            self.hosts_url(),
            self.overrides,
        );
        fs::write(&path, yaml)?;
        Ok(path)
    }

    /// Kills a node; the host list goes on naming it, as with a lag.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub async fn kill_node(&mut self, name: &str) -> Result<()> {
        self.node(name)?.kill().await
    }

    /// Marks an entry host or endpoint as leaving in the host list.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub async fn leave(&mut self, name: &str) -> Result<()> {
        if let Some(node) = self.nodes.get_mut(name) {
            node.leaving = true;
        } else {
            let endpoint = self.endpoints.get_mut(name);
            endpoint.ok_or_else(|| unknown(name))?.leaving = true;
        }
        self.publish().await
    }

    /// Removes an entry host or endpoint from the host list and ends it.
    ///
    /// # Errors
    ///
    /// Fails if the host list can't be changed.
    pub async fn remove(&mut self, name: &str) -> Result<()> {
        self.nodes.remove(name);
        self.endpoints.remove(name);
        self.publish().await
    }

    async fn publish(&self) -> Result<()> {
        let mut groups = Vec::new();
        for (name, node) in &self.nodes {
            groups.push(
                json!({"targets": [node.process.address("peers")], "labels": {
                    "role": "entry",
                    "name": name,
                    "data_centre": node.data_centre,
                    "state": state(node.leaving),
                    "operations": node.process.address("operations"),
                }}),
            );
        }
        for (name, endpoint) in &self.endpoints {
            groups.push(
                json!({"targets": [endpoint.process.address("address")], "labels": {
                    "role": "endpoint",
                    "name": name,
                    "data_centre": endpoint.data_centre,
                    "state": state(endpoint.leaving),
                    "service": endpoint.service,
                }}),
            );
        }
        client::switch(&self.hosts.address("control"), &json!({"groups": groups})).await
    }

    /// Applies an operators' text and returns its generation.
    ///
    /// # Errors
    ///
    /// Fails if the tool refuses it.
    pub async fn apply_text(&self, yaml: &str) -> Result<u64> {
        let file = self.directory.path().join("text.yaml");
        fs::write(&file, yaml)?;
        let (kv, hosts) = (self.kv_address(), self.hosts_url());
        let base = self.generation.load(Ordering::SeqCst).to_string();
        let platform = ["--kv", &kv, "--hosts", &hosts, "--output", "json"];
        let command = ["apply", "--author", "test", "--base", &base, text(&file)?];
        let arguments = [&platform[..], &command[..]].concat();
        let (status, output) = process::run("dottereltallyctl", &arguments).await?;
        if !status.success() {
            bail!("dottereltallyctl apply ended with {status}: {output}");
        }
        let accepted: Value = serde_json::from_str(&output)
            .wrap_err_with(|| format!("dottereltallyctl printed {output}"))?;
        let generation = accepted["generation"].as_u64().unwrap_or_default();
        self.generation.store(generation, Ordering::SeqCst);
        Ok(generation)
    }

    /// Waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails if one does not become so.
    pub async fn ready(&self) -> Result<()> {
        for name in self.nodes.keys() {
            eventually(&format!("{name} is ready"), || self.is_ready(name)).await?;
        }
        Ok(())
    }

    async fn is_ready(&self, name: &str) -> Option<()> {
        let address = self.operations(name).ok()?;
        let answer = Call::new(&address, Method::GET, "/readyz").text().await;
        answer.ok()?.status.is_success().then_some(())
    }

    /// Returns the status page of a node.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub async fn status(&self, name: &str) -> Result<Value> {
        let call = Call::new(&self.operations(name)?, Method::GET, "/status");
        Ok(call.text().await?.json())
    }

    /// Changes switches of `kv`, `hosts` or an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if it is not known or does not accept them.
    pub async fn switch(&self, name: &str, change: &Value) -> Result<()> {
        client::switch(&self.control_address(name)?, change).await
    }

    /// Returns what `kv`, `hosts` or an endpoint has counted.
    ///
    /// # Errors
    ///
    /// Fails if it is not known or does not answer.
    pub async fn counts(&self, name: &str) -> Result<Value> {
        let page = client::control(&self.control_address(name)?).await?;
        Ok(page["counts"].clone())
    }

    fn control_address(&self, name: &str) -> Result<String> {
        let process = match name {
            "kv" => &self.kv,
            "hosts" => &self.hosts,
            _ => {
                &self
                    .endpoints
                    .get(name)
                    .ok_or_else(|| unknown(name))?
                    .process
            }
        };
        Ok(process.address("control"))
    }

    /// Returns the names of the nodes.
    #[must_use]
    pub fn node_names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Returns the names of the endpoints.
    #[must_use]
    pub fn endpoint_names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    /// Returns the process of a node.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub fn node(&mut self, name: &str) -> Result<&mut Process> {
        let node = self.nodes.get_mut(name).ok_or_else(|| unknown(name))?;
        Ok(&mut node.process)
    }

    /// Returns the process of an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub fn endpoint(&mut self, name: &str) -> Result<&mut Process> {
        let endpoint = self.endpoints.get_mut(name).ok_or_else(|| unknown(name))?;
        Ok(&mut endpoint.process)
    }

    /// Returns the address of a node for callers.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub fn callers(&self, name: &str) -> Result<String> {
        let node = self.nodes.get(name).ok_or_else(|| unknown(name))?;
        Ok(node.process.address("callers"))
    }

    /// Returns the address of a node's operations pages.
    ///
    /// # Errors
    ///
    /// Fails if it is not known.
    pub fn operations(&self, name: &str) -> Result<String> {
        let node = self.nodes.get(name).ok_or_else(|| unknown(name))?;
        Ok(node.process.address("operations"))
    }

    /// Returns the address of the key-value service.
    #[must_use]
    pub fn kv_address(&self) -> String {
        self.kv.address("address")
    }

    /// Returns the address of the host list.
    #[must_use]
    pub fn hosts_url(&self) -> String {
        format!("http://{}/hosts", self.hosts.address("address"))
    }

    fn log(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for name in self.nodes.keys() {
            let log = fs::read_to_string(self.log(name)).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let shown = lines.len().saturating_sub(SHOWN_LOG_LINES);
            eprintln!("log of {name}:\n{}", lines[shown..].join("\n"));
        }
    }
}

/// Returns the form in which the operators' text lists a bearer key.
#[must_use]
pub fn hash(key: &str) -> String {
    format!("sha256:{:x}", Sha256::digest(key.as_bytes()))
}

const fn state(leaving: bool) -> &'static str {
    if leaving { "leaving" } else { "live" }
}

fn text(path: &Path) -> Result<&str> {
    path.to_str()
        .ok_or_else(|| eyre!("{} is not UTF-8", path.display()))
}

fn unknown(name: &str) -> eyre::Report {
    eyre!("{name} is not part of the deployment")
}
