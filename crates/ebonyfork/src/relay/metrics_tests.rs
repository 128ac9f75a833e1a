use googletest::prelude::*;

use super::*;
use crate::ident::SnapshotVersion;

#[gtest]
fn outcomes_carry_class_and_reason() {
    let metrics = RelayMetrics::default();
    let mut registry = Registry::default();
    metrics.register(&mut registry);
    let class = "search".parse().unwrap();
    let newest = SnapshotVersion(18);
    metrics.count_verdict(&class, &ShardVerdict::NotRun(RefusalReason::QueueFull));
    metrics.count_verdict(&class, &ShardVerdict::VersionGone { newest });
    metrics.observe_times(&class, Duration::from_millis(3), Duration::from_millis(9));
    let mut encoded_metrics = String::new();
    prometheus_client::encoding::text::encode(&mut encoded_metrics, &registry).unwrap();
    let full_line =
        r#"relay_outcomes_total{class="search",outcome="not-run",reason="queue-full"} 1"#;
    expect_that!(encoded_metrics, contains_substring(full_line));
    expect_that!(
        encoded_metrics,
        contains_substring(r#"reason="version-gone"} 1"#)
    );
    expect_that!(
        encoded_metrics,
        contains_substring(r#"relay_wait_seconds_count{class="search"} 1"#)
    );
}
