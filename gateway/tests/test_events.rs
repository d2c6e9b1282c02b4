//! Splitting of streams into complete events.

use dottereltally_gateway::events::Splitter;
use rstest::rstest;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(7)]
#[case(100)]
fn events_are_split_whatever_the_size_of_the_parts(#[case] size: usize) {
    let mut splitter = Splitter::default();
    let (mut bytes, mut events, mut last) = (Vec::new(), 0, None);
    for part in STREAM.as_bytes().chunks(size) {
        let Some(batch) = splitter.feed(part).unwrap() else {
            continue;
        };
        let text = String::from_utf8(batch.bytes.to_vec()).unwrap();
        assert!(text.ends_with("\n\n") || text.ends_with("\r\n\r\n"));
        bytes.extend_from_slice(&batch.bytes);
        events += batch.events;
        last = batch.last_id;
    }
    assert_eq!(bytes, STREAM.as_bytes());
    assert_eq!(events, 3);
    assert_eq!(last, Some(3));
    assert!(splitter.is_empty());
}

#[test]
fn an_unfinished_event_stays_buffered() {
    let mut splitter = Splitter::default();
    let batch = splitter
        .feed(b"id: 1\ndata: a\n\nid: 2\nda")
        .unwrap()
        .unwrap();
    assert_eq!((batch.first_id, batch.last_id), (Some(1), Some(1)));
    assert!(!splitter.is_empty());
}

#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = Splitter::default();
    let part = vec![b'x'; 600 * 1024];
    assert!(splitter.feed(&part).unwrap().is_none());
    assert!(splitter.feed(&part).is_err());
}

#[test]
fn lines_before_the_id_do_not_hide_it() {
    let mut splitter = Splitter::default();
    let batch = splitter
        .feed(b"weights: 2\nid: 9\ndata: a\n\n")
        .unwrap()
        .unwrap();
    assert_eq!((batch.events, batch.first_id), (1, Some(9)));
}
