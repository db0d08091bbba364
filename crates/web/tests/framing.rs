//! Requests with ambiguous framing are refused, and others accepted, however the bytes are split into reads.

use web::prelude::{FramingFault, RequestFraming};

fn inspect(text: &str, chunk_size: usize) -> Result<(), FramingFault> {
    let mut framing = RequestFraming::default();
    for chunk in text.as_bytes().chunks(chunk_size.max(1)) {
        framing.inspect(chunk)?;
    }
    Ok(())
}

#[test]
fn ambiguous_framing_is_refused_however_it_is_split() {
    let refused = [
        ("POST / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", FramingFault::BareLineFeed),
        ("POST / HTTP/1.1\r\nHost: a\r\n b\r\n\r\n", FramingFault::FoldedLine),
        ("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", FramingFault::TwoLengths),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", FramingFault::TwoLengths),
        ("POST / HTTP/1.1\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\n", FramingFault::TwoLengths),
        ("POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", FramingFault::BadLength),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n", FramingFault::UnknownCoding),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\n", FramingFault::BareLineFeed),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n", FramingFault::BadChunk),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\n", FramingFault::BadChunk),
        ("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabGET / HTTP/1.1\n\r\n", FramingFault::BareLineFeed),
    ];
    for (text, fault) in refused {
        for chunk_size in [1, 2, 7, text.len()] {
            assert_eq!(inspect(text, chunk_size), Err(fault), "{text:?} in chunks of {chunk_size}");
        }
    }
}

#[test]
fn consecutive_well_framed_requests_are_accepted() {
    let accepted = [
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na\nb\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\n\r\n",
        "\r\nGET /b HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\nGET /c HTTP/1.1\r\n\r\n",
    ];
    for text in accepted {
        for chunk_size in [1, 3, text.len()] {
            assert_eq!(inspect(text, chunk_size), Ok(()), "{text:?} in chunks of {chunk_size}");
        }
    }
}

#[test]
fn complete_requests_are_counted_and_a_partial_head_is_detected() {
    let mut framing = RequestFraming::default();
    assert!(!framing.is_in_head());
    framing.inspect(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chu").unwrap();
    assert!(framing.is_in_head() && framing.complete_count() == 0);
    framing.inspect(b"nked\r\n\r\n2;x=y\r\nab\r\n0\r\nTrailer: t\r\n").unwrap();
    assert!(!framing.is_in_head() && framing.complete_count() == 0);
    framing.inspect(b"\r\nPOST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\nxG").unwrap();
    assert!(framing.is_in_head() && framing.complete_count() == 2);
}

/// Otherwise neither the time limit of heads nor the count of their bytes would apply to it.
#[test]
fn a_line_too_long_to_be_checked_is_still_part_of_a_head() {
    let mut framing = RequestFraming::default();
    framing.inspect(b"GET / HTTP/1.1\r\nX: ").unwrap();
    framing.inspect(&vec![b'x'; 200 << 10]).unwrap();
    assert!(framing.is_in_head() && framing.awaits_rest());
}
