//! The operators' tool as its users see it: output, hints and exit codes.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Stdio,
};

use dottereltally_testutils::deployment::Deployment;
use eyre::Result;
use insta::assert_snapshot;
use rstest::rstest;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{io::AsyncWriteExt, process::Command};

const SAMPLE: &str = include_str!("../../examples/demo.yaml");

/// What one run of the tool gave.
struct Run {
    code: Option<i32>,
    output: String,
    errors: String,
    raw: Vec<u8>,
}

/// The platform's stand-ins and a folder for files.
struct Desk {
    platform: Deployment,
    folder: TempDir,
}

impl Desk {
    async fn start() -> Result<Self> {
        Ok(Self {
            platform: Deployment::start().await?,
            folder: TempDir::new()?,
        })
    }

    fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, content).expect("the folder takes files");
        path
    }

    async fn run(&self, arguments: &[&str]) -> Result<Run> {
        let (kv, hosts) = (self.platform.kv_address(), self.platform.hosts_url());
        let mut all = vec!["--kv", &kv, "--hosts", &hosts];
        all.extend(arguments);
        tool(&all, "").await
    }

    async fn apply(&self, file: &Path, author: &str) -> Result<Run> {
        let file = file.to_string_lossy().into_owned();
        self.run(&["apply", &file, "--author", author]).await
    }
}

async fn tool(arguments: &[&str], input: &str) -> Result<Run> {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dottereltallyctl"))
        .args(arguments)
        .env_remove("DOTTERELTALLY_KV")
        .env_remove("DOTTERELTALLY_HOSTS")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()?;
    if let Some(mut stdin) = child.stdin.take() {
        stdin.write_all(input.as_bytes()).await?;
    }
    let output = child.wait_with_output().await?;
    Ok(Run {
        code: output.status.code(),
        output: stable(&String::from_utf8_lossy(&output.stdout)),
        errors: stable(&String::from_utf8_lossy(&output.stderr)),
        raw: output.stdout,
    })
}

/// Masks what differs between two runs: times, tokens, addresses and folders.
fn stable(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split(' ').map(mask).collect();
        lines.push(words.join(" "));
    }
    lines.join("\n")
}

fn mask(word: &str) -> &str {
    let core = word.trim_matches(['(', ')', ':', ',', ';', '"']);
    if core.len() == 36 && core.matches('-').count() == 4 {
        return "TOKEN";
    }
    if core.len() == 20 && core.ends_with('Z') && core.contains('T') {
        return "TIME";
    }
    if core.starts_with("127.0.0.1") {
        return "ADDRESS";
    }
    if core.starts_with('/') && core.contains(".yaml") {
        return "FILE";
    }
    word
}

#[tokio::test]
async fn check_accepts_a_sample() -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("text.yaml", SAMPLE);
    let run = tool(&["check", &file.to_string_lossy()], "").await?;
    assert_eq!(run.code, Some(0));
    assert_snapshot!(run.output);
    Ok(())
}

#[tokio::test]
async fn check_lists_every_fault() -> Result<()> {
    let desk = Desk::start().await?;
    let faulty = SAMPLE
        .replace("kind: plain", "kind: plian")
        .replace("deadline: 5s", "deadline: soon");
    let file = desk.file("text.yaml", &faulty);
    let run = tool(&["check", &file.to_string_lossy()], "").await?;
    assert_eq!(run.code, Some(2));
    assert_snapshot!(run.errors);
    let run = desk.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(2), "a faulty text is not applied");
    assert_eq!(desk.run(&["show"]).await?.code, Some(1));
    Ok(())
}

#[tokio::test]
async fn a_text_is_applied_shown_changed_and_audited() -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("text.yaml", SAMPLE);
    let run = desk.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(0), "{}", run.errors);
    assert_snapshot!("first_apply", run.output);
    let shown = desk.run(&["show"]).await?;
    assert_eq!(shown.output.lines().next(), Some("generation: 1"));
    let edited = shown.output.replace("deadline: 10s", "deadline: 12s");
    let file = desk.file("text.yaml", &edited);
    let path = file.to_string_lossy().into_owned();
    assert_snapshot!("diff", desk.run(&["diff", &path]).await?.output);
    let run = desk.apply(&file, "boris").await?;
    assert_snapshot!("second_apply", run.output);
    assert!(fs::read_to_string(&file)?.starts_with("generation: 2\n"));
    assert_snapshot!("history", desk.run(&["history"]).await?.output);
    let run = desk.apply(&file, "boris").await?;
    assert_snapshot!("unchanged", run.output);
    Ok(())
}

#[tokio::test]
async fn the_slower_of_two_edits_is_told_of_the_other() -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("first.yaml", SAMPLE);
    desk.apply(&file, "ana").await?;
    let shown = desk.run(&["show"]).await?.output;
    let fast = desk.file(
        "fast.yaml",
        &shown.replace("deadline: 10s", "deadline: 12s"),
    );
    let slow = desk.file("slow.yaml", &shown.replace("deadline: 5s", "deadline: 6s"));
    assert_eq!(desk.apply(&fast, "boris").await?.code, Some(0));
    let run = desk.apply(&slow, "vera").await?;
    assert_eq!(run.code, Some(3));
    assert_snapshot!(run.errors);
    Ok(())
}

#[tokio::test]
async fn an_outage_of_the_platform_has_its_own_code() -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("text.yaml", SAMPLE);
    desk.platform.switch("kv", &json!({"down": true})).await?;
    let run = desk.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(4), "{}", run.errors);
    desk.platform.switch("kv", &json!({"down": false})).await?;
    assert_eq!(desk.run(&["show"]).await?.code, Some(1));
    Ok(())
}

#[tokio::test]
async fn an_apply_whose_answer_is_lost_ends_with_the_truth() -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("text.yaml", SAMPLE);
    desk.platform
        .switch("kv", &json!({"lose_answers": 1}))
        .await?;
    let run = desk.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(0), "{}", run.errors);
    assert_snapshot!("first_apply", run.output);
    let run = desk.run(&["--output", "json", "history"]).await?;
    let audits: Value = serde_json::from_slice(&run.raw)?;
    assert_eq!(audits.as_array().map(Vec::len), Some(1));
    Ok(())
}

#[rstest]
#[case("pay", &["explain", "POST", "/payments", "--workspace", "demo"])]
#[case("model", &["explain", "POST", "/v1/chat/completions", "--model", "disputes"])]
#[case("none", &["explain", "GET", "/nowhere"])]
#[tokio::test]
async fn explain_names_the_call(#[case] name: &str, #[case] arguments: &[&str]) -> Result<()> {
    let desk = Desk::start().await?;
    let file = desk.file("text.yaml", SAMPLE);
    desk.apply(&file, "ana").await?;
    let run = desk.run(arguments).await?;
    assert_snapshot!(
        format!("explain_{name}"),
        format!("{}{}", run.output, run.errors)
    );
    Ok(())
}

#[tokio::test]
async fn digest_is_what_the_sample_lists() -> Result<()> {
    let run = tool(&["digest"], "demo-key\n").await?;
    assert!(SAMPLE.contains(run.output.trim()), "{}", run.output);
    Ok(())
}

#[tokio::test]
async fn a_missing_address_names_the_option() -> Result<()> {
    let run = tool(&["show"], "").await?;
    assert_eq!(run.code, Some(1));
    assert_snapshot!(run.errors);
    Ok(())
}
