use googletest::prelude::*;
use http::HeaderValue;
use proptest::prelude::{any, prop, proptest};

use super::*;

fn headers(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a valid header value");
        headers.append(header::AUTHORIZATION, value);
    }
    headers
}

fn declaration(name: &str, credentials: &[&str]) -> OrganisationDeclaration {
    OrganisationDeclaration {
        organisation: OrganisationEntry {
            name: OrganisationName::new(name),
            quota: None,
            priority: None,
            home_regions: HomeRegions::default(),
        },
        credentials: credentials
            .iter()
            .map(|credential| CredentialDigest::new(credential.as_bytes()))
            .collect(),
    }
}

#[gtest]
fn malformed_credentials_are_rejected() {
    let malformed: [&[&[u8]]; 12] = [
        &[],
        &[b""],
        &[b"Bearer"],
        &[b"Bearer "],
        &[b"Bearer   "],
        &[b"Bearerkey"],
        &[b"Basic key"],
        &[b"Bearer\tkey"],
        &[b"Bearer two words"],
        &[b"Bearer k\xe9y"],
        &[b"Bearer key", b"Bearer key"],
        &[b"Bearer key", b""],
    ];
    for values in malformed {
        let digest = read_credential(&headers(values));
        expect_that!(digest.is_none(), eq(true), "{values:?}");
    }
}

proptest! {
    /// No header value makes the reader fail, and only the exact credential is found.
    #[test]
    fn any_header_value_is_read(value in prop::collection::vec(any::<u8>(), 0..40)) {
        let Ok(value) = HeaderValue::from_bytes(&value) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, value);
        let digest = read_credential(&headers);
        assert!(digest != Some(CredentialDigest::new(b"")));
    }

    #[test]
    fn a_credential_is_found_with_any_spelling_of_the_scheme(
        credential in "[!-~]{1,60}",
        scheme in "[bB][eE][aA][rR][eE][rR]",
        spaces in " {1,4}",
    ) {
        let value = format!("{scheme}{spaces}{credential}{spaces}");
        let digest = read_credential(&headers(&[value.as_bytes()]));
        assert!(digest == Some(CredentialDigest::new(credential.as_bytes())));
    }
}

#[gtest]
fn a_credential_belongs_to_one_organisation() {
    let table = OrganisationTable::new([declaration("a", &["1", "2"]), declaration("b", &[])]);
    let table = table.expect("distinct organisations");
    expect_that!(table.len(), eq(2));
    let found = table
        .find(CredentialDigest::new(b"2"))
        .map(|entry| &entry.name);
    expect_that!(found, some(eq(&OrganisationName::new("a"))));
    let shared = OrganisationTable::new([declaration("a", &["1"]), declaration("b", &["1"])]);
    expect_that!(
        shared.expect_err("shared").to_string(),
        eq("a and b share a credential")
    );
    let twice = OrganisationTable::new([declaration("a", &["1"]), declaration("a", &["2"])]);
    expect_that!(
        twice.expect_err("twice").to_string(),
        eq("a is stated twice")
    );
}
