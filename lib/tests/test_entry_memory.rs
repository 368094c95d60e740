//! Tests of the memory that an entry host (a reverse proxy between callers and backend servers) gives
//! to request and response bodies.

use std::collections::VecDeque;

use bytes::Bytes;
use cardamomshift_lib::entry::BodyMemory;
use cardamomshift_lib::entry::HeldBytes;
use cardamomshift_lib::entry::HeldParts;
use cardamomshift_lib::entry::MemoryBudget;
use cardamomshift_lib::entry::MemoryChange;
use cardamomshift_lib::entry::ProcessLimits;
use compact_str::CompactString;
use compact_str::format_compact;

/// Limit of a host of 88 MB.
fn limit() -> usize {
    let limits = ProcessLimits {
        descriptors: 3_000,
        memory_bytes: 88 << 20,
    };
    limits.body_bytes()
}

/// Requests of one workspace that arrive at a constant rate.
struct Load {
    workspace: Option<CompactString>,
    body_bytes: usize,
    /// Time between two requests, milliseconds.
    interval: usize,
    /// How long each request is held, milliseconds. Callers that read slowly hold theirs for long.
    held_for: usize,
    /// Requests in flight and when they end.
    in_flight: VecDeque<(usize, HeldBytes)>,
    refused: usize,
    served: usize,
}

impl Load {
    fn new(name: &str, body_bytes: usize, interval: usize, held_for: usize) -> Self {
        Self {
            workspace: Some(name.into()),
            body_bytes,
            interval,
            held_for,
            in_flight: VecDeque::new(),
            refused: 0,
            served: 0,
        }
    }

    fn run(&mut self, now: usize, memory: &BodyMemory) {
        while self.in_flight.front().is_some_and(|(end, _)| *end <= now) {
            self.in_flight.pop_front();
        }
        if !now.is_multiple_of(self.interval) {
            return;
        }
        let mut held = memory.start(self.workspace.clone());
        // Bodies arrive in parts; a request that is refused in between is dropped with its bytes.
        let part = 16 << 10;
        let parts = (0..self.body_bytes).step_by(part);
        let result = parts
            .map(|at| part.min(self.body_bytes - at))
            .try_for_each(|bytes| held.grow(bytes));
        match result {
            Ok(()) => {
                self.served += 1;
                self.in_flight.push_back((now + self.held_for, held));
            }
            Err(_) => self.refused += 1,
        }
    }
}

/// Plays 20 s and checks the sum at each millisecond and the release at the end.
fn play(loads: &mut [Load]) {
    let memory = BodyMemory::new(MemoryBudget::new(limit()));
    for now in 0..20_000 {
        for load in &mut *loads {
            load.run(now, &memory);
        }
        assert!(memory.budget().held() <= limit(), "at {now} ms");
    }
    for load in loads {
        load.in_flight.clear();
        assert_eq!(memory.budget().held_by(&load.workspace), 0);
    }
    assert_eq!(memory.budget().held(), 0);
}

/// Guards against large bodies of one workspace, or of several, that leave no memory for small ones.
#[test]
fn large_bodies_leave_memory_for_small_ones() {
    for flooding in [1, 4] {
        let large = (0..flooding).map(|n| {
            let body_bytes = [4 << 20, 55 << 10, 1 << 20, 256 << 10][n];
            Load::new(&format!("large{n}"), body_bytes, 2, 10_000)
        });
        let small = (0..30).map(|n| Load::new(&format!("small{n}"), 9 << 10, 150, 1_200));
        let mut loads: Vec<_> = large.chain(small).collect();
        play(&mut loads);
        for load in &loads[flooding..] {
            let name = &load.workspace;
            assert_eq!(load.refused, 0, "{flooding} flooding: {name:?} refused");
        }
        // The memory is used: what the small ones leave goes to the others.
        let (first, rest) = loads.split_first().unwrap();
        assert!(first.refused > 0 && first.served > 0);
        assert!(rest[..flooding - 1].iter().all(|load| load.served > 0));
    }
}

/// Guards against a workspace that keeps what it took while it was alone.
#[test]
fn workspaces_that_want_more_settle_at_even_parts() {
    let name = |n| Some(format_compact!("w{n}"));
    let mut budget = MemoryBudget::new(limit());
    let body = 55 << 10;
    for round in 0..2_000 {
        for n in 0..4 {
            // Others begin when the first one has what it can get.
            if n == 0 || round > 400 {
                let _ = budget.hold(&name(n), body);
            }
        }
        if round % 2 == 0 {
            (0..4).for_each(|n| budget.release(&name(n), body));
        }
    }
    for n in 0..4 {
        let parts = budget.held_by(&name(n)) as f64 / (limit() / 5) as f64;
        assert!((0.9..1.1).contains(&parts), "{n}: {parts} even parts");
    }
}

/// Guards against bytes that stay counted when a response is dropped before its caller has taken it.
#[test]
fn parts_are_released_as_they_are_taken_or_dropped() {
    let memory = BodyMemory::new(MemoryBudget::new(1_000));
    let mut parts = HeldParts::new(memory.start(None));
    for _ in 0..5 {
        parts.push(Bytes::from_static(&[0; 100])).unwrap();
    }
    // The part has been read, so it is kept, but not counted.
    assert!(parts.push(Bytes::from_static(&[0; 100])).is_err());
    assert_eq!((parts.len(), memory.budget().held()), (600, 500));
    assert_eq!(parts.pop().unwrap().len(), 100);
    assert_eq!((parts.len(), memory.budget().held()), (500, 400));
    drop(parts);
    assert_eq!(memory.budget().held(), 0);
}

#[test]
fn change_of_state_is_reported_once() {
    let mut budget = MemoryBudget::new(1_000);
    assert_eq!(budget.take_change(), None);
    budget.hold(&None, 400).unwrap();
    for _ in 0..3 {
        budget.hold(&None, 200).unwrap_err();
    }
    let short = MemoryChange::Short {
        held_bytes: 400,
        workspace: None,
        workspace_bytes: 400,
    };
    assert_eq!(budget.take_change(), Some(short));
    budget.check(&None, 200).unwrap_err();
    assert_eq!(budget.take_change(), None);
    assert_eq!(budget.take_change(), Some(MemoryChange::Relieved));
    assert_eq!(budget.take_change(), None);
}

/// Guards against memory that is kept for connections while there are few, and against bodies and connections
/// that together exceed the memory.
#[test]
fn bodies_take_the_memory_that_connections_leave() {
    for memory_mb in [55, 88, 110, 512] {
        let limits = ProcessLimits {
            descriptors: 10_000,
            memory_bytes: memory_mb << 20,
        };
        let rest = limits.memory_bytes - (20 << 20);
        assert_eq!(limits.body_bytes_beside(0), rest / 2);
        let mut last = usize::MAX;
        for connections in 0..10_000 {
            let bodies = limits.body_bytes_beside(connections);
            assert!((limits.body_bytes()..=last).contains(&bodies));
            let all = bodies + connections * (56 << 10);
            assert!(
                all <= rest || bodies == limits.body_bytes(),
                "{connections}"
            );
            last = bodies;
        }
    }
}
