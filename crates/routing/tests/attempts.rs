//! Attempts of a request whose targets may refuse it, be lost or be silent.

mod support;

use model::ResultCode;
use routing::{AttemptRace, CallKind, RaceAction};
use support::with_fixed_seeds;

/// Event of a race, with the facts that its decision depends on.
#[derive(Clone, Copy, Debug)]
enum Event {
    Started,
    NoSlot,
    Refused(ResultCode),
    Lost { in_time: bool, retries: u32 },
    Resolved(ResultCode),
    Silence { has_target: bool, retries: u32 },
}

/// Applies an event, and returns the decision and how many retries it took.
fn apply(race: &mut AttemptRace, event: Event) -> (Option<RaceAction>, u32) {
    let mut taken = 0;
    let action = match event {
        Event::Started => {
            race.on_started();
            Some(RaceAction::Wait)
        }
        Event::NoSlot => race.on_no_slot(),
        Event::Refused(code) => Some(race.on_refused(code)),
        Event::Lost { in_time, retries } => race.on_lost(in_time, || {
            taken = retries.min(1);
            retries > 0
        }),
        Event::Resolved(code) => Some(race.on_resolved(code, true)),
        Event::Silence {
            has_target,
            retries,
        } => Some(race.on_silence(
            || has_target,
            || {
                taken = retries.min(1);
                retries > 0
            },
        )),
    };
    (action, taken)
}

const SILENCE: Event = Event::Silence {
    has_target: true,
    retries: 1,
};

const LOST: Event = Event::Lost {
    in_time: true,
    retries: 1,
};

const LOST_LATE: Event = Event::Lost {
    in_time: false,
    retries: 1,
};

/// Guards against requests that fail because their target is silent, and against orders that are sent twice.
#[test]
fn a_request_fails_only_after_its_last_attempt() {
    let check = |kind: CallKind, events: &[(Event, Option<RaceAction>, u32)]| {
        let mut race = AttemptRace::new(kind);
        for (idx, (event, action, taken)) in events.iter().enumerate() {
            let decision = apply(&mut race, *event);
            assert_eq!(decision, (*action, *taken), "event {idx} of {events:?}");
        }
    };
    let wait = Some(RaceAction::Wait);
    let acquire = Some(RaceAction::Acquire);
    let fail = |code| Some(RaceAction::Fail(code));
    let refused = Event::Refused(ResultCode::TargetRefused);
    let no_budget = |event| match event {
        Event::Silence { has_target, .. } => Event::Silence {
            has_target,
            retries: 0,
        },
        Event::Lost { in_time, .. } => Event::Lost {
            in_time,
            retries: 0,
        },
        it => it,
    };
    let no_target = Event::Silence {
        has_target: false,
        retries: 1,
    };
    let started = (Event::Started, wait, 0);
    for kind in [CallKind::Lookup, CallKind::Completion] {
        // Silence without another attempt.
        check(kind, &[started, (no_target, wait, 0), (no_target, wait, 0)]);
        check(kind, &[started, (no_budget(SILENCE), wait, 0)]);
        // The silent attempt is kept while another one is acquired, refused or lost.
        check(
            kind,
            &[
                started,
                (SILENCE, acquire, 1),
                (SILENCE, wait, 0),
                (Event::NoSlot, wait, 0),
            ],
        );
        check(
            kind,
            &[
                started,
                (SILENCE, acquire, 1),
                started,
                (refused, acquire, 0),
                (Event::NoSlot, wait, 0),
                (LOST_LATE, None, 0),
                (
                    Event::Resolved(ResultCode::DeadlineUnknown),
                    fail(ResultCode::DeadlineUnknown),
                    0,
                ),
            ],
        );
        check(
            kind,
            &[
                started,
                (SILENCE, acquire, 1),
                started,
                (no_budget(LOST), wait, 0),
                (no_budget(LOST), None, 0),
            ],
        );
        check(
            kind,
            &[
                started,
                (SILENCE, acquire, 1),
                (LOST, wait, 0),
                (Event::NoSlot, None, 0),
            ],
        );
        // At most three attempts run at a time, and four start.
        check(
            kind,
            &[
                started,
                (SILENCE, acquire, 1),
                started,
                (SILENCE, acquire, 1),
                started,
                (SILENCE, wait, 0),
                (LOST, acquire, 1),
                started,
                (LOST, wait, 0),
                (SILENCE, wait, 0),
            ],
        );
        check(
            kind,
            &[
                started,
                (LOST, acquire, 1),
                (Event::NoSlot, fail(ResultCode::TargetLost), 0),
            ],
        );
    }
    check(
        CallKind::Order,
        &[
            started,
            (SILENCE, wait, 0),
            (LOST, None, 0),
            (
                Event::Resolved(ResultCode::TargetLost),
                fail(ResultCode::TargetLost),
                0,
            ),
        ],
    );
    check(
        CallKind::Order,
        &[
            started,
            (LOST, None, 0),
            (Event::Resolved(ResultCode::Revoked), acquire, 0),
            started,
            (refused, acquire, 0),
            (Event::NoSlot, fail(ResultCode::TargetRefused), 0),
        ],
    );
    check(CallKind::Order, &[(Event::NoSlot, None, 0)]);
    check(
        CallKind::Order,
        &[
            started,
            (Event::Refused(ResultCode::Overloaded), acquire, 0),
            (Event::NoSlot, None, 0),
        ],
    );
}

/// Guards against requests that wait for nothing, and against orders that run at two targets at a time.
#[test]
fn a_waiting_request_has_an_attempt_or_acquires_one() {
    with_fixed_seeds(|u| {
        let kind = *u.choose(&[CallKind::Lookup, CallKind::Completion, CallKind::Order])?;
        let mut race = AttemptRace::new(kind);
        let (mut running, mut is_acquiring) = (0, true);
        while !u.is_empty() {
            let retries = u.int_in_range(0..=1)?;
            let event = match u.int_in_range(0..=4)? {
                0 if is_acquiring => Event::Started,
                1 if is_acquiring => Event::NoSlot,
                2 if running > 0 => {
                    Event::Refused(*u.choose(&[ResultCode::Overloaded, ResultCode::TargetRefused])?)
                }
                3 if running > 0 => Event::Lost {
                    in_time: u.ratio(9, 10)?,
                    retries,
                },
                4 => Event::Silence {
                    has_target: u.ratio(1, 2)?,
                    retries,
                },
                _ => continue,
            };
            match event {
                Event::Started => running += 1,
                Event::Refused(_) | Event::Lost { .. } => running -= 1,
                _ => {}
            }
            is_acquiring &= !matches!(event, Event::Started | Event::NoSlot);
            let (mut action, _) = apply(&mut race, event);
            if action.is_none() && matches!(event, Event::Lost { .. }) {
                assert!(running == 0 && !is_acquiring);
                let code = *u.choose(&[ResultCode::Revoked, ResultCode::TargetLost])?;
                action = apply(&mut race, Event::Resolved(code)).0;
            }
            match action {
                Some(RaceAction::Wait) => assert!(running > 0 || is_acquiring),
                Some(RaceAction::Acquire) => {
                    assert!(!is_acquiring);
                    is_acquiring = true;
                }
                Some(RaceAction::Fail(_)) | None => {
                    assert!(running == 0 && !is_acquiring);
                    return Ok(());
                }
            }
            assert!(running <= if kind == CallKind::Order { 1 } else { 3 });
        }
        Ok(())
    });
}
