//! The commands against the platform stand-in: outcomes and exit statuses.

use std::path::{Path, PathBuf};
use std::time::Duration;

use ebonyfork::declaration::DeclaredFile;
use ebonyfork::revision::{
    ChangeId, ChangeRecord, HeadRecord, HeldEvidence, PublishOutcome, publish, read_change,
    read_head,
};
use ebonyfork::store::StoreClient;
use ebonyfork::topology::{VmRecord, VmState};
use ebonyfork_lab::platform::PlatformStandIn;
use ebonyfork_stand_in::store_faults::{StoreFaults, StoreOutage};
use ebonyforkctl::run;
use ebonyforkctl::status::ExitStatus;
use googletest::prelude::*;

const DECLARATION: &str = "[service tender-00]\nconnections = 25\ndrain = 10s\n";

struct Bench {
    platform: PlatformStandIn,
    directory: PathBuf,
}

impl Bench {
    async fn start(name: &str) -> Self {
        let listen = "127.0.0.1:0".parse().expect("an address");
        let platform = PlatformStandIn::start(listen).await.expect("a free port");
        platform.set_vms(vec![VmRecord {
            ip: "127.0.0.1".parse().expect("an address"),
            port: None,
            zone: "zone-a".parse().expect("a zone"),
            group: "ebonyfork".into(),
            state: VmState::Live,
        }]);
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&directory).expect("a directory");
        let bench = Self {
            platform,
            directory,
        };
        bench.write("main.ini", DECLARATION);
        bench
    }

    fn write(&self, file: &str, text: &str) {
        std::fs::write(self.directory.join(file), text).expect("a file");
    }

    /// Runs a command line on a thread of its own; `DIR` stands for the directory.
    async fn run(&self, line: &str) -> ExitStatus {
        let platform = self.platform.address().to_string();
        let mut words = vec!["ebonyforkctl".to_owned(), "--platform".to_owned(), platform];
        for word in line.split(' ') {
            let word = if word == "DIR" {
                self.directory.display().to_string()
            } else {
                word.to_owned()
            };
            words.push(word);
        }
        let running = tokio::task::spawn_blocking(move || run(words));
        running.await.expect("no panic")
    }

    fn show(&self, held: HeadRecord) {
        let zone = "zone-a".parse().expect("a zone");
        let key = HeldEvidence::key(&zone);
        let evidence = HeldEvidence {
            zone,
            writer: "127.0.0.1".parse().expect("an address"),
            held,
            lowest: held.revision,
            vms: 1,
            lagging: Vec::new(),
            time_ms: 0,
        };
        let value = serde_json::to_vec(&evidence).expect("JSON");
        self.platform.store().put(&key, value);
    }

    async fn head(&self) -> HeadRecord {
        let head = read_head(&self.client()).await.expect("a healthy store");
        head.expect("a head").1
    }

    fn client(&self) -> StoreClient {
        StoreClient::new(self.platform.client(), Duration::from_secs(2))
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_outcome_has_its_exit_status() {
    let bench = Bench::start("outcomes").await;
    assert_that!(bench.run("status").await, eq(ExitStatus::Failed));
    let apply = "apply DIR --timeout 0s --note first";
    assert_that!(bench.run("apply DIR --dry-run").await, eq(ExitStatus::Done));
    assert_that!(bench.run(apply).await, eq(ExitStatus::NotEverywhere));
    assert_that!(
        bench.run("status --revision 1").await,
        eq(ExitStatus::NotEverywhere)
    );
    bench.show(bench.head().await);
    assert_that!(bench.run("status --revision 1").await, eq(ExitStatus::Done));
    // The same files once more: nothing is published, and the head is accepted.
    assert_that!(bench.run(apply).await, eq(ExitStatus::Done));
    assert_that!(bench.head().await.revision.0, eq(1));
    assert_that!(
        bench.run("history --limit 5 --output json").await,
        eq(ExitStatus::Done)
    );
    assert_that!(bench.run("show").await, eq(ExitStatus::Done));
    assert_that!(bench.run("show --revision 9").await, eq(ExitStatus::Failed));
    bench.write("main.ini", "[service tender-00]\nweight = 3\n");
    assert_that!(bench.run(apply).await, eq(ExitStatus::Findings));
    assert_that!(bench.run("check DIR").await, eq(ExitStatus::Findings));
    assert_that!(bench.run("check").await, eq(ExitStatus::Usage));
    assert_that!(bench.run("completion bash").await, eq(ExitStatus::Done));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_and_lost_answers_end_truthfully() {
    let bench = Bench::start("faults").await;
    let apply = "apply DIR --timeout 0s";
    let outage = |kind| StoreFaults {
        outage: Some(kind),
        ..StoreFaults::default()
    };
    bench.platform.store().set_faults(outage(StoreOutage::Busy));
    assert_that!(bench.run(apply).await, eq(ExitStatus::Failed));
    bench.platform.store().set_faults(StoreFaults::default());
    // Part, record and head: the answers of all three are lost after they took effect.
    bench.platform.store().lose_answers(3);
    assert_that!(bench.run(apply).await, eq(ExitStatus::NotEverywhere));
    assert_that!(bench.head().await.revision.0, eq(1));
    bench.write(
        "main.ini",
        "[service tender-00]\nconnections = 50\ndrain = 10s\n",
    );
    bench.platform.store().lose_calls(3);
    assert_that!(bench.run(apply).await, eq(ExitStatus::NotEverywhere));
    assert_that!(bench.head().await.revision.0, eq(2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_operators_race_and_exactly_one_wins() {
    let bench = Bench::start("race").await;
    let client = bench.client();
    let mut racing = Vec::new();
    for number in 1..=8 {
        let client = client.clone();
        racing.push(tokio::spawn(async move {
            let text = format!("[service tender-00]\nconnections = {number}\ndrain = 10s\n");
            let files = [DeclaredFile::new("main.ini", text)];
            let request = ebonyfork::revision::publish_request(&files, "kim", "race");
            let request = request.expect("no findings").with_base(None);
            ebonyfork::revision::publish_prepared(&client, request).await
        }));
    }
    let mut published = 0;
    for run in racing {
        match run.await.expect("no panic") {
            PublishOutcome::Published { .. } => published += 1,
            PublishOutcome::Conflict { theirs, .. } => assert_that!(theirs, some(anything())),
            other => panic!("neither published nor a conflict: {other:?}"),
        }
    }
    assert_that!(published, eq(1));
    let later = publish(
        &client,
        &[DeclaredFile::new("main.ini", DECLARATION)],
        "kim",
        "",
    )
    .await;
    assert_that!(matches!(later, PublishOutcome::Published { .. }), eq(true));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_revision_that_was_overridden_is_never_called_accepted() {
    let bench = Bench::start("overridden").await;
    bench.run("apply DIR --timeout 0s").await;
    let client = bench.client();
    let published = bench.head().await;
    let change = read_change(&client, published.change)
        .await
        .expect("a healthy store");
    let change = change.expect("a record");
    // A watcher that held another change under the same number puts that one in force again.
    let other = ChangeRecord {
        change: ChangeId([5; 16]),
        ..change.clone()
    };
    let restored = other.restored_onto(&change, ChangeId([6; 16]), 0);
    let value = serde_json::to_vec(&restored).expect("JSON");
    bench.platform.store().put(&restored.change.key(), value);
    bench.show(restored.head());
    assert_that!(
        bench.run("status --revision 1").await,
        eq(ExitStatus::Overridden)
    );
    // Another change under the same number is no evidence either way.
    bench.show(other.head());
    assert_that!(
        bench.run("status --revision 1").await,
        eq(ExitStatus::NotEverywhere)
    );
}
