use rstest::rstest;

use super::{Queue, Queues};

fn queue(name: &str, host: &str, prefix: &str) -> Queue {
    Queue {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        ..Queue::default()
    }
}

fn queues() -> Queues {
    Queues {
        list: vec![
            queue("wide", "a.example", "/q/"),
            queue("narrow", "a.example", "/q/deep/"),
            queue("other", "b.example", "/q/"),
        ],
        ..Queues::default()
    }
}

#[rstest]
#[case("a.example", "/q/17", Some("wide 17"))]
#[case("A.example", "/q/deep/17", Some("narrow 17"))]
#[case("a.example", "/q/", Some("wide "))]
#[case("b.example", "/q/deep/17", Some("other deep/17"))]
#[case("a.example", "/other/17", None)]
#[case("c.example", "/q/17", None)]
fn request_goes_to_queue_with_longest_matching_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let queues = queues();
    let found = queues.find(host, path);
    let text = found.map(|target| format!("{} {}", target.queue.name, target.rest));
    assert_eq!(text.as_deref(), expected);
}
