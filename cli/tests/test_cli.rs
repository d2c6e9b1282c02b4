//! Output, hints and exit codes of the operators' tool.

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

/// Result of one run of the tool; `raw` is the output before masking.
struct Run {
    code: Option<i32>,
    output: String,
    errors: String,
    raw: Vec<u8>,
}

/// Stand-ins for the platform's services and a folder for files.
struct Fixture {
    platform: Deployment,
    folder: TempDir,
}

impl Fixture {
    async fn start() -> Result<Self> {
        Ok(Self {
            platform: Deployment::start().await?,
            folder: TempDir::new()?,
        })
    }

    fn file(&self, name: &str, content: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, content).expect("the folder is writable");
        path
    }

    async fn run(&self, arguments: &[&str]) -> Result<Run> {
        let (kv, hosts) = (self.platform.kv_address(), self.platform.hosts_url());
        let mut all = vec!["--kv", &kv, "--hosts", &hosts];
        all.extend(arguments);
        run_tool(&all, "").await
    }

    async fn apply(&self, file: &Path, author: &str) -> Result<Run> {
        let file = file.to_string_lossy().into_owned();
        self.run(&["apply", &file, "--author", author]).await
    }
}

async fn run_tool(arguments: &[&str], input: &str) -> Result<Run> {
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
        output: mask_all(&String::from_utf8_lossy(&output.stdout)),
        errors: mask_all(&String::from_utf8_lossy(&output.stderr)),
        raw: output.stdout,
    })
}

/// Masks words that differ between two runs: times, tokens, addresses and paths.
fn mask_all(text: &str) -> String {
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
    let fixture = Fixture::start().await?;
    let file = fixture.file("text.yaml", SAMPLE);
    let run = run_tool(&["check", &file.to_string_lossy()], "").await?;
    assert_eq!(run.code, Some(0));
    assert_snapshot!(run.output);
    Ok(())
}

#[tokio::test]
async fn check_lists_every_fault() -> Result<()> {
    let fixture = Fixture::start().await?;
    let faulty = SAMPLE
        .replace("kind: plain", "kind: plian")
        .replace("deadline: 5s", "deadline: soon");
    let file = fixture.file("text.yaml", &faulty);
    let run = run_tool(&["check", &file.to_string_lossy()], "").await?;
    assert_eq!(run.code, Some(2));
    assert_snapshot!(run.errors);
    let run = fixture.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(2), "a faulty text is not applied");
    assert_eq!(fixture.run(&["show"]).await?.code, Some(1));
    Ok(())
}

#[tokio::test]
async fn a_configuration_is_applied_shown_changed_and_audited() -> Result<()> {
    let fixture = Fixture::start().await?;
    let file = fixture.file("text.yaml", SAMPLE);
    let run = fixture.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(0), "{}", run.errors);
    assert_snapshot!("first_apply", run.output);
    let shown = fixture.run(&["show"]).await?;
    assert_eq!(shown.output.lines().next(), Some("generation: 1"));
    let edited = shown.output.replace("deadline: 10s", "deadline: 12s");
    let file = fixture.file("text.yaml", &edited);
    let path = file.to_string_lossy().into_owned();
    assert_snapshot!("diff", fixture.run(&["diff", &path]).await?.output);
    let run = fixture.apply(&file, "boris").await?;
    assert_snapshot!("second_apply", run.output);
    assert!(fs::read_to_string(&file)?.starts_with("generation: 2\n"));
    assert_snapshot!("history", fixture.run(&["history"]).await?.output);
    let run = fixture.apply(&file, "boris").await?;
    assert_snapshot!("unchanged", run.output);
    Ok(())
}

#[tokio::test]
async fn the_later_of_two_concurrent_edits_gets_the_change_of_the_other() -> Result<()> {
    let fixture = Fixture::start().await?;
    let file = fixture.file("first.yaml", SAMPLE);
    fixture.apply(&file, "ana").await?;
    let shown = fixture.run(&["show"]).await?.output;
    let fast = fixture.file(
        "fast.yaml",
        &shown.replace("deadline: 10s", "deadline: 12s"),
    );
    let slow = fixture.file("slow.yaml", &shown.replace("deadline: 5s", "deadline: 6s"));
    assert_eq!(fixture.apply(&fast, "boris").await?.code, Some(0));
    let run = fixture.apply(&slow, "vera").await?;
    assert_eq!(run.code, Some(3));
    assert_snapshot!(run.errors);
    Ok(())
}

#[tokio::test]
async fn an_outage_of_the_platform_has_its_own_exit_code() -> Result<()> {
    let fixture = Fixture::start().await?;
    let file = fixture.file("text.yaml", SAMPLE);
    fixture
        .platform
        .set_controls("kv", &json!({"down": true}))
        .await?;
    let run = fixture.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(4), "{}", run.errors);
    fixture
        .platform
        .set_controls("kv", &json!({"down": false}))
        .await?;
    assert_eq!(fixture.run(&["show"]).await?.code, Some(1));
    Ok(())
}

#[tokio::test]
async fn apply_resolves_a_lost_answer() -> Result<()> {
    let fixture = Fixture::start().await?;
    let file = fixture.file("text.yaml", SAMPLE);
    fixture
        .platform
        .set_controls("kv", &json!({"lose_answers": 1}))
        .await?;
    let run = fixture.apply(&file, "ana").await?;
    assert_eq!(run.code, Some(0), "{}", run.errors);
    assert_snapshot!("first_apply", run.output);
    let run = fixture.run(&["--output", "json", "history"]).await?;
    let audits: Value = serde_json::from_slice(&run.raw)?;
    assert_eq!(audits.as_array().map(Vec::len), Some(1));
    Ok(())
}

#[rstest]
#[case("pay", &["explain", "POST", "/payments", "--workspace", "demo"])]
#[case("model", &["explain", "POST", "/v1/chat/completions", "--model", "disputes"])]
#[case("none", &["explain", "GET", "/nowhere"])]
#[tokio::test]
async fn explain_prints_the_matching_call(
    #[case] name: &str,
    #[case] arguments: &[&str],
) -> Result<()> {
    let fixture = Fixture::start().await?;
    let file = fixture.file("text.yaml", SAMPLE);
    fixture.apply(&file, "ana").await?;
    let run = fixture.run(arguments).await?;
    assert_snapshot!(
        format!("explain_{name}"),
        format!("{}{}", run.output, run.errors)
    );
    Ok(())
}

#[tokio::test]
async fn digest_prints_what_the_sample_lists() -> Result<()> {
    let run = run_tool(&["digest"], "demo-key\n").await?;
    assert!(SAMPLE.contains(run.output.trim()), "{}", run.output);
    Ok(())
}

#[tokio::test]
async fn a_missing_address_is_reported_with_its_option() -> Result<()> {
    let run = run_tool(&["show"], "").await?;
    assert_eq!(run.code, Some(1));
    assert_snapshot!(run.errors);
    Ok(())
}
