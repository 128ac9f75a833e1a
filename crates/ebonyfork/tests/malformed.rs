//! Tests that each malformed declaration or setting gets the expected finding with its location, and that arbitrary
//! text never does more than produce findings.

use ebonyfork::declaration::{DeclaredConfig, DeclaredFile};
use ebonyfork::ident::RevisionNumber;
use ebonyfork::settings::NodeSettings;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// A valid class declaration, which the cases modify.
const VALID_CLASS: &str = "[class c]\nindex = i\nscope = all\nlatency = 300ms\npercentile = 99\ncoverage = 0.9\n\
                     gives-way = latency\nbound = 2s\nidempotent = yes\n";
/// Valid settings, which the cases modify.
const VALID_SETTINGS: &str = "[node]\nvm = 10.0.0.1\nzone = zone-a\ncaller-port = 7100\npeer-port = 7101\n\
                        operator-port = 7102\n[platform]\naddress = 10.0.0.9:7000\n";

/// Text to replace in the valid text, its replacement, and the beginning of the expected finding.
type ReplaceCase = (&'static str, &'static str, &'static str);

const CLASS_CASES: [ReplaceCase; 27] = [
    (
        "index = i\n",
        "",
        "a.ini:1: [class c] lacks the key `index`",
    ),
    (
        "index = i",
        "index = I",
        "a.ini:2: index: `I` is not a valid index name",
    ),
    (
        "scope = all",
        "scope = some",
        "a.ini:3: scope: `some` is not one of `all`, `one`",
    ),
    (
        "latency = 300ms\n",
        "",
        "a.ini:1: [class c] lacks the key `latency`",
    ),
    (
        "latency = 300ms",
        "latency = 300",
        "a.ini:4: latency: `300` is not a valid time span",
    ),
    (
        "latency = 300ms",
        "latency = -1ms",
        "a.ini:4: latency: `-1ms` is not a valid time span",
    ),
    (
        "latency = 300ms",
        "latency = 0ms",
        "a.ini:4: latency: `0ms` is not above 0",
    ),
    (
        "latency = 300ms",
        "latency = 2h",
        "a.ini:4: latency: `2h` is not above 0 and up to 1h",
    ),
    (
        "latency = 300ms",
        "latency =",
        "a.ini:4: latency: `` is not a valid time span",
    ),
    (
        "latency = 300ms",
        "latency = 99999999999999999999s",
        "a.ini:4: latency: `99999999999999999999s` is not a valid time span",
    ),
    (
        "percentile = 99",
        "percentile = 100",
        "a.ini:5: percentile: `100` is not above 0 and below",
    ),
    (
        "percentile = 99",
        "percentile = 0",
        "a.ini:5: percentile: `0` is not above 0 and below",
    ),
    (
        "percentile = 99",
        "percentile = NaN",
        "a.ini:5: percentile: `NaN` is not above 0",
    ),
    (
        "percentile = 99",
        "percentile = p99",
        "a.ini:5: percentile: invalid float literal",
    ),
    (
        "coverage = 0.9\n",
        "",
        "a.ini:1: [class c] lacks the key `coverage`",
    ),
    (
        "coverage = 0.9",
        "coverage = 98",
        "a.ini:6: coverage: `98` is not above 0 and up to 1",
    ),
    (
        "coverage = 0.9",
        "coverage = -0.1",
        "a.ini:6: coverage: `-0.1` is not above 0",
    ),
    (
        "gives-way = latency\n",
        "",
        "a.ini:1: [class c] lacks the key `gives-way`",
    ),
    (
        "gives-way = latency",
        "gives-way = both",
        "a.ini:7: gives-way: `both` is not one of `latency`, `coverage`",
    ),
    (
        "bound = 2s",
        "bound = 200ms",
        "a.ini:8: bound: `200ms` is shorter than the target latency",
    ),
    (
        "idempotent = yes\n",
        "",
        "a.ini:1: [class c] lacks the key `idempotent`",
    ),
    (
        "idempotent = yes",
        "idempotent = no",
        "a.ini:9: idempotent: a class with `scope = all` must be",
    ),
    (
        "idempotent = yes",
        "idempotent = true",
        "a.ini:9: idempotent: `true` is not one of `yes`, `no`",
    ),
    (
        "bound = 2s",
        "bond = 2s",
        "a.ini:8: unknown key `bond`, did you mean `bound`?",
    ),
    (
        "bound = 2s",
        "weight = 3",
        "a.ini:8: weight: operators state targets only",
    ),
    (
        "bound = 2s",
        "servers = a, b",
        "a.ini:8: servers: operators state targets only",
    ),
    (
        "[class c]",
        "[class C]",
        "a.ini:1: `C` is not a valid class name",
    ),
];

/// A whole declaration text, and the beginning of its only finding.
type DeclarationCase = (&'static str, &'static str);

const DECLARATION_CASES: [DeclarationCase; 21] = [
    (
        "[service s]\ndrain = 1s\n",
        "a.ini:1: [service s] lacks the key `connections`",
    ),
    (
        "[service s]\nconnections = 25\ndrain = 0s\n",
        "a.ini:3: drain: `0ms` is not above 0 and up to 1h",
    ),
    (
        "[service s]\nconnections = 0\ndrain = 1s\n",
        "a.ini:2: connections: `0` is not between 1 and 100000",
    ),
    (
        "[service s]\nconnections = many\ndrain = 1s\n",
        "a.ini:2: connections: invalid digit found in string",
    ),
    (
        "[service s]\nconnections = -1\ndrain = 1s\n",
        "a.ini:2: connections: invalid digit found in string",
    ),
    (
        "[service s]\nconnections = 25\ndrain = 1s\naddress = 10.0.0.1\n",
        "a.ini:4: address: operators state targets only",
    ),
    (
        "[service s]\nconnections = 25\ndrain = 1s\nconnections = 50\n",
        "a.ini:4: `connections` already stands at line 2",
    ),
    (
        "[service s]\nconnections = 25\ndrain = 1s\n[service s]\nconnections = 25\ndrain = 1s\n",
        "a.ini:4: section [service s] already stands at line 1",
    ),
    (
        "[service]\nconnections = 25\ndrain = 1s\n",
        "a.ini:1: [service] lacks a name",
    ),
    (
        "[service a b]\nconnections = 25\ndrain = 1s\n",
        "a.ini:1: `a b` is not a valid service name",
    ),
    (
        "[server s]\n",
        "a.ini:1: section `server`: operators state targets only",
    ),
    (
        "[servic s]\n",
        "a.ini:1: unknown section `servic`, did you mean `service`?",
    ),
    (
        "[zebra s]\n",
        "a.ini:1: unknown section `zebra`, expected one of `service`, `class`",
    ),
    ("[service s\n", "a.ini:1: malformed section header"),
    (
        "connections = 25\n",
        "a.ini:1: `connections` stands before the first section",
    ),
    (
        "; fine\n\nstray words\n",
        "a.ini:3: expected `key = value`, found `stray words`",
    ),
    (
        "[organisation k]\n",
        "a.ini:1: [organisation k] lacks the key `classes`",
    ),
    (
        "[organisation k]\nclasses = c\n",
        "a.ini:2: classes: unknown class `c`, no class is declared",
    ),
    (
        "[organisation k]\nclasses =\n",
        "a.ini:2: classes: `` is not a valid class name",
    ),
    (
        "[service s]\nconnections = 4294967296\ndrain = 1s\n",
        "a.ini:2: connections: number too large to fit in target type",
    ),
    (
        "[service s]\nconnections = 25\ndrain = 1s\ncolour = red\n",
        "a.ini:4: unknown key `colour`, expected one of",
    ),
];

const SETTINGS_CASES: [ReplaceCase; 14] = [
    (
        "vm = 10.0.0.1",
        "vm = here",
        "n.ini:2: vm: invalid IP address syntax",
    ),
    (
        "zone = zone-a\n",
        "",
        "n.ini:1: [node] lacks the key `zone`",
    ),
    (
        "zone = zone-a",
        "zone = Zone A",
        "n.ini:3: zone: `Zone A` is not a valid zone name",
    ),
    (
        "caller-port = 7100",
        "caller-port = 0",
        "n.ini:4: caller-port: port 0 can't be reached",
    ),
    (
        "caller-port = 7100",
        "caller-port = 70000",
        "n.ini:4: caller-port: number too large",
    ),
    (
        "peer-port = 7101",
        "peer-port = 7100",
        "n.ini:5: peer-port: the three ports must differ",
    ),
    (
        "operator-port = 7102",
        "operator-prot = 7102",
        "n.ini:1: [node] lacks the key `operator-port`",
    ),
    (
        "[platform]",
        "[platfrom]",
        "n.ini: lacks the section [platform]",
    ),
    (
        "address = 10.0.0.9:7000",
        "address = 10.0.0.9",
        "n.ini:8: address: invalid socket address",
    ),
    (
        "address = 10.0.0.9:7000",
        "address = db.example:7000",
        "n.ini:8: address: invalid socket address",
    ),
    (
        "[platform]\n",
        "[log]\nlevel = loud\n[platform]\n",
        "n.ini:8: level: attempted to convert",
    ),
    (
        "[platform]\n",
        "[log]\ndecisions = yes\n[platform]\n",
        "n.ini:8: decisions: `yes` is not one of",
    ),
    (
        "[platform]\n",
        "[locate]\nttl = soon\n[platform]\n",
        "n.ini:8: ttl: `soon` is not a valid time span",
    ),
    (
        "[platform]\n",
        "[experiment]\nhedge = maybe\n[platform]\n",
        "n.ini:8: hedge: `maybe` is not one of `on`, `off`",
    ),
];

fn declaration_findings(text: &str) -> Vec<String> {
    let files = [DeclaredFile::new("a.ini", text)];
    match DeclaredConfig::parse(&files, RevisionNumber(1)) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.sorted().map(ToString::to_string).collect(),
    }
}

fn settings_findings(text: &str) -> Vec<String> {
    match NodeSettings::parse("n.ini", text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.sorted().map(ToString::to_string).collect(),
    }
}

#[gtest]
fn valid_texts_have_no_findings() {
    expect_that!(declaration_findings(VALID_CLASS), is_empty());
    expect_that!(settings_findings(VALID_SETTINGS), is_empty());
}

#[gtest]
fn each_malformed_class_gets_its_finding() {
    for (original, replacement, expected) in CLASS_CASES {
        let findings = declaration_findings(&VALID_CLASS.replacen(original, replacement, 1));
        expect_that!(
            findings,
            elements_are![starts_with(expected)],
            "{replacement}"
        );
    }
}

#[gtest]
fn each_malformed_declaration_gets_its_finding() {
    for (text, expected) in DECLARATION_CASES {
        let findings = declaration_findings(text);
        expect_that!(findings, elements_are![starts_with(expected)], "{text}");
    }
}

#[gtest]
fn each_malformed_setting_gets_its_finding() {
    for (original, replacement, expected) in SETTINGS_CASES {
        let findings = settings_findings(&VALID_SETTINGS.replacen(original, replacement, 1));
        // A misspelt section or key gets two findings: the unknown name and the missing one.
        expect_that!(
            findings,
            contains(starts_with(expected)),
            "{replacement}: {findings:?}"
        );
        expect_that!(findings.len(), le(2), "{replacement}: {findings:?}");
    }
}

#[gtest]
fn findings_across_several_files_are_reported() {
    let files = [
        DeclaredFile::new("classes.ini", VALID_CLASS),
        DeclaredFile::new("more.ini", VALID_CLASS),
        DeclaredFile::new("organisations.ini", "[organisation k]\nclasses = c, d, c\n"),
    ];
    let findings = DeclaredConfig::parse(&files, RevisionNumber(1)).unwrap_err();
    let findings: Vec<String> = findings.sorted().map(ToString::to_string).collect();
    expect_that!(
        findings,
        elements_are![
            eq("more.ini:1: [class c] already stands at classes.ini:1"),
            eq("organisations.ini:2: classes: `c` stands twice"),
            starts_with("organisations.ini:2: classes: unknown class `d`, did you mean `c`?"),
        ]
    );
}

fn fixed_seed_config() -> Config {
    Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Generates lines that resemble valid ones, many of them malformed.
fn nearly_valid_line() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\[(service|class|organisation|node|platform)( [a-z;=\\[\\]]{0,6})?\\]?",
        "(latency|coverage|idempotent|drain|vm|zone) ?=? ?(300ms|0.9|yes|-1|NaN|1e999|[ -~]{0,12}) ?(; x)?",
        "\\PC{0,20}",
    ]
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn arbitrary_text_never_makes_a_reader_panic(text in "\\PC{0,200}") {
        declaration_findings(&text);
        settings_findings(&text);
    }

    #[test]
    fn nearly_valid_lines_never_make_a_reader_panic(
        lines in prop::collection::vec(nearly_valid_line(), 0..20)
    ) {
        let text = lines.join("\n");
        declaration_findings(&text);
        settings_findings(&text);
        prop_assert!(declaration_findings(&text) == declaration_findings(&text));
    }
}
