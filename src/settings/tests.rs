//! Checks of settings files and questionnaires; the faults of each faulty file
//! are kept in a snapshot.

use std::path::Path;
use std::time::Duration;

use rstest::rstest;

use super::{EntrySettings, FleetSettings, Source, WorkerSettings, form};
use crate::configuration::CheckedQuestionnaire;
use crate::locality::RemoteFactor;

fn path(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/settings")
        .join(name)
}

#[rstest]
#[case("unknown_section")]
#[case("unknown_key")]
#[case("bad_values")]
#[case("bad_overload")]
#[case("missing")]
#[case("not_ini")]
fn entry_settings_report_every_fault(#[case] name: &str) {
    let error = EntrySettings::read(&path(&format!("{name}.ini"))).unwrap_err();
    insta::assert_snapshot!(name, error.to_string());
}

#[test]
fn fleet_settings_report_faults_of_the_overload_limits() {
    let error = FleetSettings::read(&path("bad_fleet.ini")).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}

#[test]
fn the_deployed_template_has_the_known_keys() {
    let template = include_str!("../../deploy/entry.ini");
    let filled = template
        .replace("{{limits.memory_mb}}", "160")
        .replace("{{limits.max_fds}}", "4100");
    let lines = filled.lines().filter(|line| !line.contains("{{"));
    let text = lines.collect::<Vec<_>>().join("\n");
    let error = FleetSettings::check(Source::parse("entry.ini", &text).unwrap()).unwrap_err();
    let faults = error.to_string();
    assert!(
        !faults.contains("unknown") && !faults.contains("memory"),
        "{faults}"
    );
}

#[test]
fn questionnaire_reports_every_fault() {
    let error = CheckedQuestionnaire::read(&path("questionnaire_faults.ini")).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}

#[test]
fn questionnaire_warns_of_contradictions() {
    let checked = CheckedQuestionnaire::read(&path("questionnaire_warnings.ini")).unwrap();
    let lines: Vec<String> = checked.warnings.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn worker_settings_report_a_missing_section() {
    let error = WorkerSettings::read(&path("missing.ini")).unwrap_err();
    insta::assert_snapshot!(error.to_string());
}

#[rstest]
#[case("512KB", Some(512 << 10))]
#[case("2GB", Some(2 << 30))]
#[case("7", Some(7))]
#[case("0", None)]
#[case("-1", None)]
#[case("99999999999GB", None)]
fn sizes_are_parsed_with_their_units(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!((form::SIZE.parse)(text), expected);
}

/// The settings of a host on the users' platform, with this line added.
fn fleet_settings(line: &str) -> crate::Result<FleetSettings> {
    let text = format!(
        "[fleet]\nname = a1\nzone = gt-a\nzones = gt-a\naddress = 127.0.0.1:1\n\
         ready = 127.0.0.1:2\nmetrics = 127.0.0.1:3\nplatform = 127.0.0.1:4\n{line}\n"
    );
    FleetSettings::check(Source::parse("fleet.ini", &text)?)
}

#[rstest]
#[case("", 2_000)]
#[case("remote_factor = 1", 1_000)]
#[case("remote_factor = 2.5", 2_500)]
#[case("remote_factor = 100", 100_000)]
fn the_remote_factor_is_optional(#[case] line: &str, #[case] thousandths: u32) {
    let settings = fleet_settings(line).unwrap();
    let expected = RemoteFactor::from_thousandths(thousandths).unwrap();
    assert_eq!(settings.remote_factor, expected);
}

/// Guards against a bound on runs of restarted workers that is not the deployment's.
#[rstest]
#[case("", 10_000)]
#[case("longest_lease = 6000ms", 6_000)]
#[case("longest_lease = 20s", 20_000)]
fn the_longest_lease_is_optional(#[case] line: &str, #[case] millis: u64) {
    let settings = fleet_settings(line).unwrap();
    assert_eq!(settings.longest_lease, Duration::from_millis(millis));
}

/// Guards against a value with which tasks would never wait for a rack, or never run
/// elsewhere.
#[rstest]
fn an_impossible_remote_factor_is_refused(
    #[values("0.99", "100.1", "-2", "NaN", "inf", "twice", "")] value: &str,
) {
    let error = fleet_settings(&format!("remote_factor = {value}")).unwrap_err();
    let message = "not accepted; give a number from 1 to 100 such as 2 or 2.5";
    let expected = format!("fleet.ini: [fleet] remote_factor = {value:?}: {message}");
    assert_eq!(error.to_string().lines().last(), Some(expected.as_str()));
}
