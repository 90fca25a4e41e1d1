//! Frames between peers: complete, split, corrupted and oversized.

use std::net;
use std::sync;

use guavausher_core::fact;
use guavausher_core::name;
use guavausher_core::peering;
use guavausher_core::time;
use guavausher_wire::peer;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

fn samples() -> Vec<peering::Message> {
    let member = peering::Member {
        name: name::Name::from("entry-1"),
        domain: name::Name::from("tolgoit"),
        region: name::Name::from("ulaanbaatar"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 9400)),
        incarnation: 3,
    };
    let body: sync::Arc<[u8]> = sync::Arc::from(&b"some body"[..]);
    let topic = peering::Topic::Rollouts;
    let leaving = peering::ExpiringFact {
        fact: fact::Fact::Leaving {
            upstream: name::Name::from("verse-scribe-3"),
            incarnation: 9,
        },
        expiry: time::Time::from_millis(1_790_000_000_000),
    };
    let names = ["verse-scribe", "v2", "verses"].map(name::Name::from);
    let [service, version, route] = names;
    vec![
        peering::Message::Hello(peering::Hello { member, leaf: true }),
        peering::Message::Heartbeat(peering::Heartbeat {
            digest: u64::MAX,
            generations: [1, 300, u64::MAX],
            synced: true,
        }),
        peering::Message::Buckets((0..64).collect()),
        peering::Message::Facts(vec![leaving; 5]),
        peering::Message::Fetch(peering::Fetch { topic, base: 7 }),
        peering::Message::Document(peering::Document {
            topic,
            generation: 8,
            body: body.clone(),
        }),
        peering::Message::Patch(peering::Patch {
            topic,
            base: 7,
            generation: 8,
            hash: 5,
            steps: vec![
                peering::Step::Copy {
                    start: 1,
                    length: 2,
                },
                peering::Step::Add(body.clone()),
            ],
        }),
        peering::Message::Reports(peering::Reports {
            sequence: 4,
            reports: vec![peering::Report::empty(service, version, route)],
        }),
        peering::Message::Forward(peering::Forward {
            from: name::Name::from("entry-1"),
            to: name::Name::from("entry-2"),
            hops: 3,
            body,
        }),
    ]
}

#[rstest]
#[case::one_chunk(usize::MAX)]
#[case::single_bytes(1)]
#[case::across_frames(17)]
fn decoder_joins_chunks(#[case] size: usize) {
    let stream: Vec<u8> = samples()
        .iter()
        .flat_map(|message| peer::encode(message).unwrap())
        .collect();
    let mut decoder = peer::Decoder::default();
    let mut decoded = Vec::new();
    for chunk in stream.chunks(size) {
        decoder.push(chunk);
        while let Some(message) = decoder.next_message().unwrap() {
            decoded.push(message);
        }
    }
    assert_eq!(decoded, samples());
    assert!(!decoder.is_partial());
}

#[test]
fn heartbeat_stays_small() {
    let heartbeat = peering::Heartbeat {
        digest: u64::MAX,
        generations: [60_000; 3],
        synced: true,
    };
    let frame = peer::encode(&peering::Message::Heartbeat(heartbeat)).unwrap();
    assert!(frame.len() <= 24, "{}", frame.len());
}

#[test]
fn decoder_skips_unknown_kind() {
    let mut decoder = peer::Decoder::default();
    decoder.push(&[0, 0, 0, 3, 200, 1, 2]);
    decoder.push(&peer::encode(&samples()[1]).unwrap());
    assert_eq!(
        decoder.next_message().unwrap().as_ref(),
        Some(&samples()[1])
    );
    assert_eq!(decoder.skipped(), 1);
}

#[test]
fn decode_ignores_trailing_bytes() {
    for message in samples() {
        let mut frame = peer::encode(&message).unwrap().to_vec();
        frame.extend([1, 2, 3]);
        let decoded = peer::decode(&frame[peer::LENGTH_BYTES..]);
        assert_eq!(decoded, Ok(Some(message)));
    }
}

#[rstest]
#[case::length([255, 255, 255, 255].to_vec())]
#[case::empty([0, 0, 0, 0].to_vec())]
#[case::truncated_heartbeat([0, 0, 0, 2, 1, 0].to_vec())]
#[case::huge_vector([0, 0, 0, 10, 2, 253, 255, 255, 255, 255, 255, 255, 255, 255].to_vec())]
#[case::huge_body([0, 0, 0, 12, 5, 0, 1, 253, 0, 0, 0, 0, 0, 0, 0, 1].to_vec())]
fn decoder_rejects_invalid_frame(#[case] bytes: Vec<u8>) {
    let mut decoder = peer::Decoder::default();
    decoder.push(&bytes);
    assert!(decoder.next_message().is_err());
}

#[rstest]
#[case::buckets(peering::Message::Buckets(vec![0; 65]))]
#[case::facts(peering::Message::Facts(facts(513)))]
fn decode_rejects_too_many_elements(#[case] message: peering::Message) {
    let frame = peer::encode(&message).unwrap();
    let decoded = peer::decode(&frame[peer::LENGTH_BYTES..]);
    assert!(matches!(decoded, Err(peer::Error::TooMany { .. })));
}

#[test]
fn decode_rejects_long_name() {
    let member = peering::Member {
        name: name::Name::from("x".repeat(name::MAX_BYTES + 1)),
        domain: name::Name::from("d"),
        region: name::Name::from("r"),
        address: net::SocketAddr::from(([10, 0, 0, 1], 1)),
        incarnation: 1,
    };
    let hello = peering::Hello {
        member,
        leaf: false,
    };
    let frame = peer::encode(&peering::Message::Hello(hello)).unwrap();
    assert!(peer::decode(&frame[peer::LENGTH_BYTES..]).is_err());
}

fn facts(count: u64) -> Vec<peering::ExpiringFact> {
    let leaving = |incarnation| peering::ExpiringFact {
        fact: fact::Fact::Leaving {
            upstream: name::Name::from("u"),
            incarnation,
        },
        expiry: time::Time::MAX,
    };
    (0..count).map(leaving).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn decode_survives_any_bytes(kind in 0_u8..12, bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let frame: Vec<_> = std::iter::once(kind).chain(bytes).collect();
        let _ = peer::decode(&frame);
    }

    #[test]
    fn decode_survives_corruption(index in 0_usize..9, offset in 0_usize..200, mask in 1_u8..) {
        let mut frame = peer::encode(&samples()[index]).unwrap().to_vec();
        let length = frame.len() - peer::LENGTH_BYTES;
        frame[peer::LENGTH_BYTES + offset % length] ^= mask;
        let _ = peer::decode(&frame[peer::LENGTH_BYTES..]);
    }

    #[test]
    fn decoder_survives_any_stream(chunks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..40), 0..20)) {
        let mut decoder = peer::Decoder::default();
        for chunk in chunks {
            decoder.push(&chunk);
            if decoder.next_message().is_err() {
                break;
            }
        }
    }
}
