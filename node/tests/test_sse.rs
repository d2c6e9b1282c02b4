//! Tests of the scanner of event streams, whose results must not depend on how
//! a stream is split into frames.

use dottereltally::sse::{Scanner, Usage};
use rstest::rstest;

const STREAM: &str = "data: {\"a\": 1}\r\n\r\n: comment\nevent: x\ndata:{\"a\": 2}\n\ndata: {\"usage\": {\"completion_tokens\": 2, \"prompt_tokens_details\": {\"cached_tokens\": 7}}}\n\ndata: [DONE]\n\n";

#[test]
fn results_are_the_same_for_any_two_frames() {
    for index in 0..=STREAM.len() {
        let (head, tail) = STREAM.split_at(index);
        let mut scanner = Scanner::default();
        let events = scanner.feed(head.as_bytes()) + scanner.feed(tail.as_bytes());
        assert_eq!(events, 3, "split at {index}");
        assert!(scanner.is_done(), "split at {index}");
        let usage = Usage {
            cached: 7,
            output: 2,
        };
        assert_eq!(scanner.usage(), Some(usage), "split at {index}");
    }
}

#[test]
fn results_are_the_same_byte_by_byte() {
    let mut scanner = Scanner::default();
    for byte in STREAM.bytes() {
        scanner.feed(&[byte]);
    }
    assert_eq!(scanner.events(), 3);
    assert!(scanner.is_done());
}

#[rstest]
#[case::no_line_feed("data: 1\n\ndata: [DONE]")]
#[case::inside_data("data: \"data: [DONE]\"\n\n")]
#[case::other_field("event: [DONE]\n\n")]
#[case::not_at_the_start(" data: [DONE]\n\n")]
fn is_not_done_without_the_done_event(#[case] stream: &str) {
    let mut scanner = Scanner::default();
    scanner.feed(stream.as_bytes());
    assert!(!scanner.is_done());
    assert_eq!(scanner.usage(), None);
}

#[test]
fn skips_an_overlong_line() {
    let mut scanner = Scanner::default();
    scanner.feed(b"data: ");
    for _ in 0..100 {
        scanner.feed(&[b'x'; 4096]);
    }
    scanner.feed(b"\ndata: [DONE]\n\n");
    assert!(scanner.is_done());
}
