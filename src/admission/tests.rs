//! Tests of which requests are admitted, and of the messages of refusals.

use std::time::Duration;

use rstest::rstest;

use super::{CallHeaders, admit};
use crate::configuration::CheckedQuestionnaire;
use crate::settings::Source;

const SETTINGS: &str = "[deployment]\nname = d\nzones = a\n\n[team:t]\ntoken = x\n\n\
                    [service:fit]\nlatency_target = 100ms\nnon_idempotent = POST /bookings\n";

#[rstest]
#[case("plain", "GET", "/", Some("t"), None, None)]
#[case("booking", "POST", "/bookings/7", Some("t"), Some("900"), None)]
#[case("keyed", "GET", "/", Some("t"), None, Some("k"))]
#[case("long_deadline", "GET", "/", Some("t"), Some("999999999"), None)]
#[case("no_team", "GET", "/", None, None, None)]
#[case("unknown_team", "GET", "/", Some("u"), None, None)]
#[case("bad_deadline", "GET", "/", Some("t"), Some("soon"), None)]
#[case("zero_deadline", "GET", "/", Some("t"), Some("0"), None)]
fn requests_are_admitted_or_refused_with_a_message(
    #[case] name: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] team: Option<&str>,
    #[case] deadline: Option<&str>,
    #[case] key: Option<&str>,
) {
    let checked = CheckedQuestionnaire::check(Source::parse("d.ini", SETTINGS).unwrap()).unwrap();
    let headers = CallHeaders {
        team,
        deadline,
        key,
    };
    let max_deadline = Duration::from_secs(30);
    let admitted = admit(
        &checked.configuration,
        "fit",
        method,
        path,
        headers,
        max_deadline,
    );
    insta::assert_debug_snapshot!(name, admitted);
}
