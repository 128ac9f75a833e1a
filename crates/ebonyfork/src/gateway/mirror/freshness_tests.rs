use googletest::prelude::*;

use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The proof of a calm VM never becomes older than the limit: the age at which the VM that asks renews it, its follower's
/// pause between two questions and the answers under way fit into it.
#[gtest]
fn a_calm_source_is_never_given_up() {
    for bound in [1_000, 3_000, 4_000, 5_000, 16_000] {
        let terms = FreshnessTerms::new(ms(bound));
        expect_that!(terms.renewal + terms.period, lt(terms.limit), "{bound} ms");
        expect_that!(terms.limit, lt(ms(bound)));
        expect_that!(terms.wait(Duration::ZERO), eq(terms.renewal));
        expect_that!(terms.wait(terms.renewal * 2), eq(WAIT_LEAST));
    }
}

#[gtest]
fn a_proof_is_reckoned_from_the_question() {
    let start = Instant::now() + Duration::from_mins(1);
    let mut questions = OpenQuestions::default();
    let first = questions.ask(start);
    let second = questions.ask(start + ms(500));
    let proof = questions.proof(second, -200);
    expect_that!(proof, some(eq(start + ms(300))));
    let renewed = questions.proof(second, 1_400);
    expect_that!(
        renewed,
        some(eq(start + ms(1_900))),
        "told without being asked"
    );
    expect_that!(questions.proof(first, 0), none(), "overtaken");
    expect_that!(questions.proof(99, 0), none(), "never asked");
}

/// An answer that a slow link brought after the VM had been left and was followed again counted for the first question of the
/// new round, and made the copy look younger by the time between.
#[gtest]
fn an_answer_to_a_question_of_an_earlier_round_proves_nothing() {
    let start = Instant::now();
    let mut questions = OpenQuestions::default();
    let early = questions.ask(start);
    let mut questions = questions.renewed();
    let later = questions.ask(start + ms(5_000));
    expect_that!(questions.proof(early, -100), none());
    expect_that!(questions.proof(later, 0), some(eq(start + ms(5_000))));
}

#[gtest]
fn only_the_last_questions_are_remembered() {
    let start = Instant::now();
    let mut questions = OpenQuestions::default();
    let first = questions.ask(start);
    for _ in 0..QUESTIONS_KEPT {
        questions.ask(start);
    }
    expect_that!(questions.proof(first, 0), none());
    expect_that!(questions.proof(first + 1, 0), some(eq(start)));
}
