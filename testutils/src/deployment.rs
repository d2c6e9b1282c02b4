//! A complete deployment on this machine: stand-ins and nodes as processes.

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

/// Number of last lines of each node's log that are printed when a test panics.
const MAX_PRINTED_LOG_LINES: usize = 25;

/// An endpoint and its entry in the host list.
#[derive(Debug)]
struct Endpoint {
    process: Process,
    /// Name of the stand-in's program.
    program: String,
    service: String,
    data_centre: String,
    leaving: bool,
}

/// A node and its entry in the host list.
#[derive(Debug)]
struct Node {
    process: Process,
    data_centre: String,
    leaving: bool,
}

/// Stand-ins and nodes, which are all killed on drop.
#[derive(Debug)]
pub struct Deployment {
    /// Directory of the logs and of the nodes' settings.
    directory: TempDir,
    /// The stand-in for the key-value service.
    kv: Process,
    /// The stand-in for the host list.
    hosts: Process,
    endpoints: BTreeMap<String, Endpoint>,
    nodes: BTreeMap<String, Node>,
    /// YAML that is appended to the nodes' settings.
    extra_settings: String,
    /// Generation of the configuration that was applied last.
    generation: AtomicU64,
}

impl Deployment {
    /// Starts the stand-ins for the key-value service and the host list.
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
            extra_settings: String::new(),
            generation: AtomicU64::new(0),
        })
    }

    /// Adds lines to the settings of the nodes that are started from now on.
    pub fn add_node_settings(&mut self, yaml: &str) {
        self.extra_settings.push_str(yaml);
        self.extra_settings.push('\n');
    }

    /// Starts a model engine with these models and adds it to the host list.
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
        self.set_controls(name, &json!({"models": models})).await
    }

    /// Starts a plain service and adds it to the host list.
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
            process: Process::start(program, &[], &self.log_path(name)).await?,
            program: program.to_owned(),
            service: service.to_owned(),
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.endpoints.insert(name.to_owned(), endpoint);
        self.publish_host_list().await
    }

    /// Kills an endpoint and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown or does not start.
    pub async fn restart_endpoint(&mut self, name: &str) -> Result<()> {
        let log = self.log_path(name);
        let endpoint = self
            .endpoints
            .get_mut(name)
            .ok_or_else(|| unknown_name(name))?;
        endpoint.process.kill().await?;
        let address = endpoint.process.address("address");
        let arguments = ["--listen", address.as_str()];
        endpoint.process = Process::start(&endpoint.program, &arguments, &log).await?;
        Ok(())
    }

    /// Starts a node and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn add_node(&mut self, name: &str, data_centre: &str) -> Result<()> {
        let settings = self.write_settings(name, data_centre)?;
        let arguments = ["--settings", path_str(&settings)?];
        let node = Node {
            process: Process::start("dottereltally", &arguments, &self.log_path(name)).await?,
            data_centre: data_centre.to_owned(),
            leaving: false,
        };
        self.nodes.insert(name.to_owned(), node);
        self.publish_host_list().await
    }

    /// Kills a node and starts it again with the same name, at new addresses.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown or does not start.
    pub async fn restart_node(&mut self, name: &str) -> Result<()> {
        let node = self.nodes.get_mut(name).ok_or_else(|| unknown_name(name))?;
        node.process.kill().await?;
        let data_centre = node.data_centre.clone();
        self.add_node(name, &data_centre).await
    }

    fn write_settings(&self, name: &str, data_centre: &str) -> Result<PathBuf> {
        let path = self.directory.path().join(format!("{name}.yaml"));
        let any_port = "127.0.0.1:0";
        let yaml = format!(
            "node: {name}\n\
             data_centre: {data_centre}\n\
             listen: {{callers: \"{any_port}\", peers: \"{any_port}\", operations: \"{any_port}\"}}\n\
             platform: {{kv: [\"{}\"], hosts: \"{}\", timeout: 1s}}\n\
             {}",
            self.kv_address(),
            self.hosts_url(),
            self.extra_settings,
        );
        fs::write(&path, yaml)?;
        Ok(path)
    }

    /// Kills a node; the host list still contains it, as if the list lagged.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub async fn kill_node(&mut self, name: &str) -> Result<()> {
        self.node_process(name)?.kill().await
    }

    /// Marks a node or endpoint as leaving in the host list.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub async fn mark_leaving(&mut self, name: &str) -> Result<()> {
        if let Some(node) = self.nodes.get_mut(name) {
            node.leaving = true;
        } else {
            let endpoint = self.endpoints.get_mut(name);
            endpoint.ok_or_else(|| unknown_name(name))?.leaving = true;
        }
        self.publish_host_list().await
    }

    /// Kills a node or endpoint and removes it from the host list.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in for the host list rejects the change.
    pub async fn remove(&mut self, name: &str) -> Result<()> {
        self.nodes.remove(name);
        self.endpoints.remove(name);
        self.publish_host_list().await
    }

    /// Sets the groups of the host list to the current nodes and endpoints.
    async fn publish_host_list(&self) -> Result<()> {
        let mut groups = Vec::new();
        for (name, node) in &self.nodes {
            groups.push(
                json!({"targets": [node.process.address("peers")], "labels": {
                    "role": "entry",
                    "name": name,
                    "data_centre": node.data_centre,
                    "state": host_state(node.leaving),
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
                    "state": host_state(endpoint.leaving),
                    "service": endpoint.service,
                }}),
            );
        }
        client::set_controls(&self.hosts.address("control"), &json!({"groups": groups})).await
    }

    /// Applies an operators' configuration with `dottereltallyctl`; returns its
    /// generation.
    ///
    /// # Errors
    ///
    /// Fails if `dottereltallyctl` rejects it.
    pub async fn apply_configuration(&self, yaml: &str) -> Result<u64> {
        let file = self.directory.path().join("text.yaml");
        fs::write(&file, yaml)?;
        let (kv, hosts) = (self.kv_address(), self.hosts_url());
        let base = self.generation.load(Ordering::SeqCst).to_string();
        let platform = ["--kv", &kv, "--hosts", &hosts, "--output", "json"];
        let command = [
            "apply",
            "--author",
            "test",
            "--base",
            &base,
            path_str(&file)?,
        ];
        let arguments = [&platform[..], &command[..]].concat();
        let (status, output) = process::run("dottereltallyctl", &arguments).await?;
        if !status.success() {
            bail!("dottereltallyctl apply failed with {status}: {output}");
        }
        let accepted: Value = serde_json::from_str(&output)
            .wrap_err_with(|| format!("dottereltallyctl printed {output:?} instead of JSON"))?;
        let generation = accepted["generation"].as_u64().unwrap_or_default();
        self.generation.store(generation, Ordering::SeqCst);
        Ok(generation)
    }

    /// Waits until every node is ready.
    ///
    /// # Errors
    ///
    /// Fails if a node does not become ready in time.
    pub async fn wait_until_ready(&self) -> Result<()> {
        for name in self.nodes.keys() {
            eventually(&format!("{name} is ready"), || self.is_ready(name)).await?;
        }
        Ok(())
    }

    async fn is_ready(&self, name: &str) -> Option<()> {
        let address = self.operations_address(name).ok()?;
        let response = Call::new(&address, Method::GET, "/readyz").fetch().await;
        response.ok()?.status.is_success().then_some(())
    }

    /// Returns the status page of a node.
    ///
    /// # Errors
    ///
    /// Fails if the node is unknown or does not respond.
    pub async fn status(&self, name: &str) -> Result<Value> {
        let call = Call::new(&self.operations_address(name)?, Method::GET, "/status");
        Ok(call.fetch().await?.json())
    }

    /// Sets controls of the stand-in `kv`, `hosts` or an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in is unknown or rejects them.
    pub async fn set_controls(&self, name: &str, change: &Value) -> Result<()> {
        client::set_controls(&self.control_address(name)?, change).await
    }

    /// Returns the counters of the stand-in `kv`, `hosts` or an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if the stand-in is unknown or does not respond.
    pub async fn counts(&self, name: &str) -> Result<Value> {
        let page = client::control_page(&self.control_address(name)?).await?;
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
                    .ok_or_else(|| unknown_name(name))?
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

    /// Returns the process of a node, to signal it or to wait for its exit.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub fn node_process(&mut self, name: &str) -> Result<&mut Process> {
        let node = self.nodes.get_mut(name).ok_or_else(|| unknown_name(name))?;
        Ok(&mut node.process)
    }

    /// Returns the process of an endpoint's stand-in.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub fn endpoint_process(&mut self, name: &str) -> Result<&mut Process> {
        let endpoint = self
            .endpoints
            .get_mut(name)
            .ok_or_else(|| unknown_name(name))?;
        Ok(&mut endpoint.process)
    }

    /// Returns the address at which a node serves callers.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub fn caller_address(&self, name: &str) -> Result<String> {
        let node = self.nodes.get(name).ok_or_else(|| unknown_name(name))?;
        Ok(node.process.address("callers"))
    }

    /// Returns the address of a node's operations pages.
    ///
    /// # Errors
    ///
    /// Fails if it is unknown.
    pub fn operations_address(&self, name: &str) -> Result<String> {
        let node = self.nodes.get(name).ok_or_else(|| unknown_name(name))?;
        Ok(node.process.address("operations"))
    }

    /// Returns the address of the key-value service.
    #[must_use]
    pub fn kv_address(&self) -> String {
        self.kv.address("address")
    }

    /// Returns the URL of the host list.
    #[must_use]
    pub fn hosts_url(&self) -> String {
        format!("http://{}/hosts", self.hosts.address("address"))
    }

    fn log_path(&self, name: &str) -> PathBuf {
        self.directory.path().join(format!("{name}.log"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if !thread::panicking() {
            return;
        }
        for name in self.nodes.keys() {
            let log = fs::read_to_string(self.log_path(name)).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let start = lines.len().saturating_sub(MAX_PRINTED_LOG_LINES);
            eprintln!("log of {name}:\n{}", lines[start..].join("\n"));
        }
    }
}

/// Returns the hash by which the operators' configuration lists a bearer key.
#[must_use]
pub fn hash_bearer_key(key: &str) -> String {
    format!("sha256:{:x}", Sha256::digest(key.as_bytes()))
}

const fn host_state(leaving: bool) -> &'static str {
    if leaving { "leaving" } else { "live" }
}

fn path_str(path: &Path) -> Result<&str> {
    path.to_str()
        .ok_or_else(|| eyre!("{} is not UTF-8", path.display()))
}

fn unknown_name(name: &str) -> eyre::Report {
    eyre!("{name} is not part of the deployment")
}
