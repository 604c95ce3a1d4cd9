//! Messages over real sockets, whole and cut, of every framing.

use super::head::ParsedHead;
use super::*;
use crate::net::buffers::{MAX_BUFFERED_BODY, ResourcePool};
use async_io::Async;
use async_io::block_on;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::io::{self, Write};
use std::net::{TcpListener, TcpStream};

fn pair() -> (TcpStream, Async<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let near = TcpStream::connect(listener.local_addr().expect("an address")).expect("a peer");
    (near, Async::new(listener.accept().expect("a connection").0).expect("a socket"))
}

/// What comes of these bytes, written in pieces to a real socket that is closed after them.
fn received(bytes: &[u8], pieces: usize, of_request: bool) -> Result<(Vec<u8>, bool), HttpError> {
    let (mut near, far) = pair();
    let bytes = bytes.to_vec();
    let writer = std::thread::spawn(move || {
        for piece in bytes.chunks(bytes.len() / pieces + 1) {
            let _ = near.write_all(piece);
        }
    });
    let resources = ResourcePool::with_limits(64, 16);
    let buffer = resources.buffer().expect("a buffer");
    let read = async {
        let parse = if of_request { ParsedHead::of_request } else { ParsedHead::of_response };
        let mut message = IncomingMessage::read_message(&far, buffer, parse, &|| ()).await?;
        message.read_to_end(&far, &resources, MAX_BUFFERED_BODY).await?;
        Ok(message)
    };
    let message = block_on(read);
    drop(far);
    writer.join().expect("the writer ends");
    message.map(|message: IncomingMessage| {
        (message.body_bytes(), message.keep_alive && message.surplus().is_empty())
    })
}

fn run<S: Strategy>(strategy: S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let cases = ProptestConfig { cases: 60, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(cases, rng).run(&strategy, check).expect("it holds in all cases");
}

#[test]
fn chunks_come_together_however_they_are_cut() {
    let strategy = (proptest::collection::vec(any::<u8>(), 0..3000), 1usize..400, 1usize..9);
    run(strategy, |(body, chunk, pieces)| {
        let mut bytes = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for part in body.chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\nTrailer: 1\r\n\r\n");
        let (received, keep) = received(&bytes, pieces, false).expect("a whole answer");
        prop_assert!(keep);
        prop_assert_eq!(received, body);
        Ok(())
    });
}

#[test]
fn an_answer_cut_short_is_never_taken_for_a_whole_one() {
    run((1usize..2000, 0usize..2000), |(length, cut)| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(std::iter::repeat_n(b'x', cut.min(length - 1)));
        prop_assert!(matches!(received(&bytes, 3, false), Err(HttpError::Closed | HttpError::Broken)));
        Ok(())
    });
}

#[test]
fn any_bytes_are_told_from_a_command_without_a_panic() {
    let noise = proptest::collection::vec(any::<u8>(), 0..300);
    let heads = ["", "GET / HTTP/1.1\r\n", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"];
    run((0..heads.len(), noise, 1usize..4), |(head, noise, pieces)| {
        let bytes = [heads[head].as_bytes(), &noise].concat();
        if let Ok((body, _)) = received(&bytes, pieces, true) {
            prop_assert!(body.len() <= bytes.len());
        }
        Ok(())
    });
}

#[test]
fn a_body_of_the_full_size_is_carried_and_one_byte_more_is_too_large() {
    for (length, pieces) in [(MAX_BUFFERED_BODY, 1), (MAX_BUFFERED_BODY, 7), (MAX_BUFFERED_BODY + 1, 1)] {
        let head = format!("POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n");
        let bytes = [head.as_bytes(), &vec![b'x'; length]].concat();
        match received(&bytes, pieces, true) {
            Ok((body, keep)) => assert!(keep && body.len() == MAX_BUFFERED_BODY),
            Err(bad) => assert!(length > MAX_BUFFERED_BODY && matches!(bad, HttpError::TooLarge)),
        }
    }
}

/// A message of any framing, taken piece by piece with two buffers at hand.
#[test]
fn a_body_past_all_buffers_comes_out_in_pieces_as_it_went_in() {
    let body: Vec<u8> = (0..150_000u32).flat_map(|number| number.to_be_bytes()).collect();
    let chunk = |part: &[u8]| [format!("{:x};x=\"y\"\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
    let chunked = |size: usize| {
        let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\nA: b\r\n\r\n"].concat()
    };
    let with_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let with_length = [with_length.as_bytes(), &body].concat();
    let to_end = [b"HTTP/1.1 200 OK\r\n\r\n", &body[..]].concat();
    for (bytes, keep) in [(with_length, true), (chunked(11), true), (chunked(70_001), true), (to_end, false)]
    {
        let (near, far) = pair();
        let writer = std::thread::spawn(move || (&near).write_all(&bytes).is_ok());
        let resources = ResourcePool::buffers_only(2);
        let buffer = resources.buffer().expect("a buffer");
        let (received, kept_alive) = block_on(async {
            let mut message = IncomingMessage::read_response(&far, buffer).await.expect("a head");
            let mut received = Vec::new();
            while !message.is_complete() {
                for piece in message.take_parts(&resources).await {
                    received.extend_from_slice(piece.bytes());
                }
                message.read_more(&far).await.expect("the rest");
            }
            received.extend(message.body_bytes());
            (received, message.keep_alive)
        });
        assert!(received == body && kept_alive == keep);
        drop(far);
        writer.join().expect("the writer ends");
    }
}

#[test]
fn interim_answers_are_read_over() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let text = format!("{interim}HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    for pieces in 1..9 {
        let received = received(text.as_bytes(), pieces, false).expect("the real answer");
        assert_eq!(received, (b"abc".to_vec(), true));
    }
}

#[test]
fn two_unlike_lengths_or_a_length_beside_chunks_are_malformed() {
    let codings = ["chunked", "gzip", "identity", "xchunked", "gzip\r\nTransfer-Encoding: chunked", ""];
    let codings = codings.map(|coding| format!("Transfer-Encoding: {coding}"));
    let lengths = ["Content-Length: 2".to_string(), "Content-Length: 4".to_string()];
    for extra in codings.iter().chain(&lengths) {
        for text in [format!("Content-Length: 3\r\n{extra}"), format!("{extra}\r\nContent-Length: 3")] {
            let text = format!("POST /a HTTP/1.1\r\n{text}\r\n\r\nabc");
            assert!(matches!(received(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{extra}");
        }
    }
    for version in ["1.0", "1.1"] {
        let coding = if version == "1.0" { "chunked" } else { "gzip, chunked" };
        let text = format!("POST /a HTTP/{version}\r\nTransfer-Encoding: {coding}\r\n\r\n0\r\n\r\n");
        assert!(matches!(received(text.as_bytes(), 1, true), Err(HttpError::Malformed)), "{coding}");
    }
}

#[test]
fn a_list_of_many_buffers_is_read_whole_and_one_past_its_most_is_too_large() {
    let body: Vec<u8> = (0..300_000u32).flat_map(|number| number.to_be_bytes()).collect();
    let chunked = |size: usize| {
        let chunk = |part: &[u8]| [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
        let chunks: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunks[..], b"0\r\n\r\n"].concat()
    };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    for bytes in [[head.as_bytes(), &body].concat(), chunked(7), chunked(90_001)] {
        for most in [100, 50] {
            let (near, far) = pair();
            let bytes = bytes.clone();
            let writer = std::thread::spawn(move || (&near).write_all(&bytes).is_ok());
            let resources = ResourcePool::with_limits(64, 16);
            match block_on(read_buffered_response(&far, &resources, most)) {
                Ok((status, keep, mut long)) => {
                    let mut received = Vec::new();
                    io::Read::read_to_end(&mut long, &mut received).expect("from memory");
                    assert!(most == 100 && received == body && keep && status == Some(200));
                }
                Err(bad) => assert!(most == 50 && matches!(bad, HttpError::TooLarge)),
            }
            drop(far);
            writer.join().expect("the writer ends");
        }
    }
}
