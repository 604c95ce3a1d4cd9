//! Messages of every framing over real sockets, complete and truncated.

use super::head::ParsedHead;
use super::*;
use crate::net::buffers::{BUFFER_SIZE, MAX_BUFFERED_BODY, ResourcePool};
use async_io::Async;
use async_io::block_on;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};

fn connected_pair() -> (TcpStream, Async<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let sender = TcpStream::connect(listener.local_addr().expect("an address")).expect("a peer");
    (sender, Async::new(listener.accept().expect("a connection").0).expect("a socket"))
}

/// Reads a message from these bytes, written in pieces to a real socket that is closed after them. Returns the body,
/// and whether the connection can be used again.
fn read_written(bytes: &[u8], pieces: usize, is_request: bool) -> Result<(Vec<u8>, bool), HttpError> {
    let (mut sender, receiver) = connected_pair();
    let bytes = bytes.to_vec();
    let writer = std::thread::spawn(move || {
        for piece in bytes.chunks(bytes.len() / pieces + 1) {
            let _ = sender.write_all(piece);
        }
    });
    let resources = ResourcePool::with_limits(64, 16);
    let buffer = resources.buffer().expect("a buffer");
    let read = async {
        let parse = if is_request { ParsedHead::parse_request } else { ParsedHead::parse_response };
        let mut message = IncomingMessage::read_message(&receiver, buffer, parse, &|| ()).await?;
        message.read_to_end(&receiver, &resources, MAX_BUFFERED_BODY).await?;
        Ok(message)
    };
    let message = block_on(read);
    drop(receiver);
    writer.join().expect("the writer ends");
    message.map(|message: IncomingMessage| {
        (message.body_bytes(), message.keep_alive && message.surplus().is_empty())
    })
}

fn check_property<S: Strategy>(strategy: S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let cases = ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(cases, rng).run(&strategy, check).expect("the property holds in all cases");
}

#[test]
fn chunked_body_is_decoded_for_any_split() {
    let strategy = (proptest::collection::vec(any::<u8>(), 0..3000), 1usize..400, 1usize..9);
    check_property(strategy, |(body, chunk, pieces)| {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for part in body.chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
        let (received, keep) = read_written(&bytes, pieces, false).expect("a complete response");
        prop_assert!(keep);
        prop_assert_eq!(received, body);
        Ok(())
    });
}

#[test]
fn truncated_response_is_an_error() {
    check_property((1usize..2000, 0usize..2000), |(length, cut)| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(std::iter::repeat_n(b'x', cut.min(length - 1)));
        prop_assert!(matches!(read_written(&bytes, 3, false), Err(HttpError::Closed | HttpError::Broken)));
        Ok(())
    });
}

#[test]
fn arbitrary_request_bytes_do_not_panic() {
    let random_bytes = proptest::collection::vec(any::<u8>(), 0..300);
    let heads = ["", "GET / HTTP/1.1\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"];
    check_property((0..heads.len(), random_bytes, 1usize..4), |(head, random_bytes, pieces)| {
        let bytes = [heads[head].as_bytes(), &random_bytes].concat();
        if let Ok((body, _)) = read_written(&bytes, pieces, true) {
            prop_assert!(body.len() <= bytes.len());
        }
        Ok(())
    });
}

#[test]
fn body_is_limited_to_max_buffered_size() {
    for (length, pieces) in [(MAX_BUFFERED_BODY, 1), (MAX_BUFFERED_BODY, 7), (MAX_BUFFERED_BODY + 1, 1)] {
        let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        let bytes = [head.as_bytes(), &vec![b'x'; length]].concat();
        match read_written(&bytes, pieces, true) {
            Ok((body, keep)) => assert!(keep && body.len() == MAX_BUFFERED_BODY),
            Err(error) => assert!(length > MAX_BUFFERED_BODY && matches!(error, HttpError::TooLarge)),
        }
    }
}

/// Messages of every framing are read in parts with only two buffers.
#[test]
fn body_larger_than_all_buffers_is_read_in_parts() {
    let body: Vec<u8> = (0..150_000u32).flat_map(|number| number.to_be_bytes()).collect();
    let chunk = |part: &[u8]| [format!("{:x};x=\"y\"\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let chunked = |size: usize| {
        let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\nA: b\r\n\r\n"].concat()
    };
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let with_length = [with_length.as_bytes(), &body].concat();
    let to_end = [b"HTTP/1.1 200 OK\r\n\r\n", &body[..]].concat();
    let forms = [(with_length, true), (chunked(11), true), (chunked(70_001), true), (to_end, false)];
    for ((bytes, keep), buffers) in forms.into_iter().flat_map(|form| [(form.clone(), 1), (form, 2)]) {
        let (sender, receiver) = connected_pair();
        let writer = std::thread::spawn(move || (&sender).write_all(&bytes).is_ok());
        let resources = ResourcePool::buffers_only(buffers);
        let buffer = resources.buffer().expect("a buffer");
        let (received, kept_alive) = block_on(async {
            let mut message = IncomingMessage::read_response(&receiver, buffer).await.expect("a head");
            let mut received = Vec::new();
            while !message.is_complete() {
                for piece in message.take_parts(&resources) {
                    received.extend_from_slice(piece.bytes());
                }
                // Without a second buffer, reading continues in the one whose bytes were taken.
                if let Some(piece) = message.take_buffer(&resources) {
                    received.extend_from_slice(piece.bytes());
                    message.continue_in(piece.into_buffer());
                }
                message.read_more(&receiver).await.expect("the rest");
            }
            received.extend(message.body_bytes());
            (received, message.keep_alive)
        });
        assert!(received == body && kept_alive == keep);
        drop(receiver);
        writer.join().expect("the writer ends");
    }
}

#[test]
fn interim_responses_are_skipped() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    for pieces in 1..9 {
        let received = read_written(text.as_bytes(), pieces, false).expect("the final response");
        assert_eq!(received, (b"abc".to_vec(), true));
    }
}

/// Guards against interim responses without end, which were skipped one by one for as long as they came.
#[test]
fn interim_responses_are_limited_to_one_buffer_in_sum() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let last = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    let fitting = (BUFFER_SIZE - last.len()) / interim.len();
    for (count, fits) in [(fitting, true), (fitting + 1, false), (100 * fitting, false)] {
        let text = interim.repeat(count) + last + "abc";
        match read_written(text.as_bytes(), 3, false) {
            Ok(received) => assert!(fits && received == (b"abc".to_vec(), true), "{count}"),
            Err(error) => assert!(!fits && matches!(error, HttpError::TooLarge), "{count}: {error}"),
        }
    }
}

/// Reads a request whose chunks are followed by these bytes, and returns the length of its body.
fn read_chunked(after_head: &[u8]) -> Result<usize, HttpError> {
    let head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    read_written(&[head, after_head].concat(), 3, true).map(|(body, _)| body.len())
}

/// Guards against trailer fields without end: each line had a limit, their number and sum had none.
#[test]
fn trailer_fields_are_limited_in_sum() {
    let field = "x:\r\n";
    let fitting = BUFFER_SIZE / field.len();
    for (count, fits) in [(fitting, true), (fitting + 1, false), (100 * fitting, false)] {
        let text = format!("2\r\nok\r\n0\r\n{}\r\n", field.repeat(count));
        match read_chunked(text.as_bytes()) {
            Ok(length) => assert!(fits && length == 2, "{count}"),
            Err(error) => assert!(!fits && matches!(error, HttpError::FramingTooLarge), "{count}: {error}"),
        }
    }
}

/// Guards against chunk extensions without end, which are skipped like trailer fields.
#[test]
fn chunk_extensions_are_limited_beside_their_data() {
    let chunk = |size: usize, extension: usize| {
        format!("{size:x};{}\r\n{}\r\n", "e".repeat(extension), "x".repeat(size))
    };
    let body = |chunks: usize, size: usize, extension: usize| {
        read_chunked(format!("{}0\r\n\r\n", chunk(size, extension).repeat(chunks)).as_bytes())
    };
    // Chunks of one byte, with short extensions, and long chunks with longer ones.
    assert!(matches!(body(60_000, 1, 8), Ok(60_000)));
    assert!(matches!(body(60, 1000, 900), Ok(60_000)));
    assert!(matches!(body(16, 1, 1000), Ok(16)));
    assert!(matches!(body(18, 1, 1000), Err(HttpError::FramingTooLarge)));
    assert!(matches!(body(10_000, 1, 1000), Err(HttpError::FramingTooLarge)));
}

#[test]
fn ambiguous_framing_is_malformed() {
    let codings = ["chunked", "gzip", "identity", "xchunked", "gzip\r\nTransfer-Encoding: chunked", ""];
    let codings = codings.map(|coding| format!("Transfer-Encoding: {coding}"));
    let lengths = ["Content-Length: 2".to_string(), "Content-Length: 4".to_string()];
    for extra in codings.iter().chain(&lengths) {
        for text in [format!("Content-Length: 3\r\n{extra}"), format!("{extra}\r\nContent-Length: 3")] {
            let text = format!("POST /a HTTP/1.1\r\n{text}\r\n\r\nabc");
            assert!(matches!(read_written(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{extra}");
        }
    }
    for version in ["1.0", "1.1"] {
        let coding = if version == "1.0" { "chunked" } else { "gzip, chunked" };
        let text = format!("POST /a HTTP/{version}\r\nTransfer-Encoding: {coding}\r\n\r\n0\r\n\r\n");
        assert!(matches!(read_written(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{coding}");
    }
}

#[test]
fn response_is_limited_to_max_buffers() {
    let body: Vec<u8> = (0..300_000u32).flat_map(|number| number.to_be_bytes()).collect();
    let chunked = |size: usize| {
        let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\n\r\n"].concat()
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    for bytes in [[head.as_bytes(), &body].concat(), chunked(7), chunked(90_001)] {
        for max_buffers in [100, 50] {
            let (sender, receiver) = connected_pair();
            let bytes = bytes.clone();
            let writer = std::thread::spawn(move || (&sender).write_all(&bytes).is_ok());
            let resources = ResourcePool::with_limits(64, 16);
            match block_on(read_buffered_response(&receiver, &resources, max_buffers)) {
                Ok((status, keep, mut body_reader)) => {
                    let mut received = Vec::new();
                    io::Read::read_to_end(&mut body_reader, &mut received).expect("from memory");
                    assert!(max_buffers == 100 && received == body && keep && status == Some(200));
                }
                Err(error) => assert!(max_buffers == 50 && matches!(error, HttpError::TooLarge)),
            }
            drop(receiver);
            writer.join().expect("the writer ends");
        }
    }
}
