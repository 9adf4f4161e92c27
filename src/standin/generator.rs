//! The stand-ins' traffic generator: traces from a seed, shaped like the users' busy weeks.

use crate::trace::{Call, Fault, FaultKind, Generation, Line};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal, Pareto};

/// Whose traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum User {
    /// Tax drafts in deadline week.
    Nikuthi,
    /// Greetings and long orders in Mother's Day week.
    Blomsterbud,
}

/// How busy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// Half of the memory.
    Calm,
    /// All of the memory and a tenth more.
    Crowded,
    /// Three quarters of the memory, with faults.
    Faulty,
}

/// What to generate.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Whose traffic.
    pub user: User,
    /// How busy.
    pub variant: Variant,
    /// The seed; one seed gives one trace.
    pub seed: u64,
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Memory of all replicas in tokens.
    pub memory_tokens: u64,
    /// Faults in the faulty variant.
    pub faults: u32,
}

/// Usual time of one token in milliseconds, for working out the rate.
const TOKEN_MS: f64 = 27.0;
const LONGEST_OUTPUT: f64 = 1_600.0;
/// Share of answers with a heavy tail.
const TAIL_SHARE: f64 = 0.06;
const SAMPLES: usize = 4_000;
const BURST_MS: u64 = 6_000;
const BURST_LENGTH_MS: u64 = 1_200;
const BURST_RATE: f64 = 1.8;
const CALLS_PER_SECOND: f64 = 4.0;
const REPLICAS: u32 = 9;
const VMS: u32 = 7;
/// Zipf-like weights of the ten workspaces: two are large.
const WORKSPACES: [f64; 10] = [30.0, 22.0, 9.0, 8.0, 7.0, 6.0, 6.0, 5.0, 4.0, 3.0];
/// How long the answers of each workspace are against the usual.
const WORDINESS: [f64; 10] = [0.7, 1.3, 1.0, 0.6, 1.6, 0.9, 1.1, 0.8, 1.4, 1.0];

const DRAFTS: [&str; 5] = [
    "Explain to a salaried client from Kollam why her house rent allowance is partly taxable this year.",
    "Draft a note for a small trader in Thrissur on which purchases he may set against his turnover.",
    "Explain the difference between the old and the new regime for a nurse with a home loan.",
    "Draft a reply to a notice about a mismatch between the bank's statement and the return.",
    "Explain which receipts a coir exporter should keep for the coming assessment.",
];
const SUMMARIES: [&str; 3] = [
    "Summarise the attached ledger for the accountant who reviews it, with every figure that looks unusual.",
    "Summarise the three notices of assessment and say what is still to be answered, and by when.",
    "Summarise the wedding order for the binders: arch, tables, buttonholes, colours and the hour of delivery.",
];
const GREETINGS: [&str; 4] = [
    "Write a short card to a mother from two children who live far away, warm and without rhyme.",
    "Write four lines of condolence from a choir to the widow of its conductor.",
    "Write a card to a grandmother in Drammen on her ninetieth birthday, in a light tone.",
    "Write a card from colleagues to a new father, with a wink at the sleepless nights.",
];

/// One kind of request in a mix.
struct Shape {
    class: &'static str,
    share: f64,
    median: f64,
    spread: f64,
    prompt: (u32, u32),
    prefix_tokens: u32,
    texts: &'static [&'static str],
}

fn shapes(user: User) -> Vec<Shape> {
    match user {
        User::Nikuthi => vec![
            Shape {
                class: "draft",
                share: 0.8,
                median: 190.0,
                spread: 0.7,
                prompt: (120, 500),
                prefix_tokens: 240,
                texts: &DRAFTS,
            },
            Shape {
                class: "summary",
                share: 0.2,
                median: 300.0,
                spread: 0.6,
                prompt: (600, 1_400),
                prefix_tokens: 160,
                texts: &SUMMARIES[..2],
            },
        ],
        User::Blomsterbud => vec![
            Shape {
                class: "greeting",
                share: 0.75,
                median: 110.0,
                spread: 0.6,
                prompt: (60, 260),
                prefix_tokens: 200,
                texts: &GREETINGS,
            },
            Shape {
                class: "summary",
                share: 0.25,
                median: 320.0,
                spread: 0.7,
                prompt: (500, 1_500),
                prefix_tokens: 160,
                texts: &SUMMARIES[2..],
            },
        ],
    }
}

/// Generates a trace.
pub fn generate(plan: &Plan) -> Vec<Line> {
    let mut rng = StdRng::seed_from_u64(plan.seed);
    let shapes = shapes(plan.user);
    let load = match plan.variant {
        Variant::Calm => 0.5,
        Variant::Crowded => 1.1,
        Variant::Faulty => 0.75,
    };
    let rate = load * plan.memory_tokens as f64 / mean_footprint(&shapes, &mut rng);
    let mut lines = generations(plan, &shapes, rate, &mut rng);
    lines.extend(calls(plan, &mut rng));
    if plan.variant == Variant::Faulty {
        lines.extend(faults(plan, &mut rng));
    }
    lines.sort_by_key(Line::at_ms);
    lines
}

/// Mean memory times time of one request, in tokens times milliseconds.
fn mean_footprint(shapes: &[Shape], rng: &mut StdRng) -> f64 {
    let mut sum = 0.0;
    for _ in 0..SAMPLES {
        let g = request(shapes, 0, rng);
        let held = f64::from(g.prompt_tokens) + f64::from(g.output_tokens) / 2.0;
        sum += held * f64::from(g.output_tokens) * TOKEN_MS;
    }
    sum / SAMPLES as f64
}

fn generations(plan: &Plan, shapes: &[Shape], rate: f64, rng: &mut StdRng) -> Vec<Line> {
    let mut lines = Vec::new();
    let mut at = 0.0;
    loop {
        let burst = (at as u64 % BURST_MS) < BURST_LENGTH_MS;
        let calm = (BURST_MS as f64 - BURST_LENGTH_MS as f64 * BURST_RATE)
            / (BURST_MS - BURST_LENGTH_MS) as f64;
        let now = rate * if burst { BURST_RATE } else { calm };
        at += Exp::new(now).expect("a positive rate").sample(rng);
        if at >= plan.length_ms as f64 {
            return lines;
        }
        lines.push(Line::Generation(request(shapes, at as u64, rng)));
    }
}

fn request(shapes: &[Shape], at_ms: u64, rng: &mut StdRng) -> Generation {
    let shape = shapes.choose_weighted(rng, |s| s.share).expect("positive shares");
    let index: Vec<usize> = (0..WORKSPACES.len()).collect();
    let workspace = *index.choose_weighted(rng, |i| WORKSPACES[*i]).expect("positive weights");
    let body = LogNormal::new((shape.median * WORDINESS[workspace]).ln(), shape.spread)
        .expect("a positive spread");
    let tail = Pareto::new(shape.median * 1.5, 1.3).expect("a positive scale");
    let output: f64 = if rng.random_bool(TAIL_SHARE) { tail.sample(rng) } else { body.sample(rng) };
    let prompt = rng.random_range(shape.prompt.0..shape.prompt.1);
    Generation {
        at_ms,
        workspace: format!("w{}", workspace + 1),
        class: shape.class.into(),
        model: "m1".into(),
        prefix: Some(format!(
            "You assist workspace w{} with its {} requests. ",
            workspace + 1,
            shape.class
        )),
        prefix_tokens: shape.prefix_tokens,
        prompt_tokens: shape.prefix_tokens + prompt,
        output_tokens: output.clamp(4.0, LONGEST_OUTPUT) as u32,
        prompt: (*shape.texts.choose(rng).expect("some texts")).into(),
    }
}

fn calls(plan: &Plan, rng: &mut StdRng) -> Vec<Line> {
    let (service, paths): (&str, &[&str]) = match plan.user {
        User::Nikuthi => ("filing", &["status", "submit"]),
        User::Blomsterbud => ("courier", &["status", "notes", "call"]),
    };
    let every = Exp::new(CALLS_PER_SECOND / 1_000.0).expect("a positive rate");
    let mut lines = Vec::new();
    let mut at: f64 = every.sample(rng);
    while at < plan.length_ms as f64 {
        let path = *paths.choose(rng).expect("some paths");
        let workspace = format!("w{}", rng.random_range(1..=WORKSPACES.len()));
        let once = path == "submit" || path == "call";
        let call = Call {
            at_ms: at as u64,
            workspace,
            class: "urgent".into(),
            service: service.into(),
            path: path.into(),
            once,
        };
        lines.push(Line::Call(call));
        at += every.sample(rng);
    }
    lines
}

/// Faults of every kind in turn, at random times, some together.
fn faults(plan: &Plan, rng: &mut StdRng) -> Vec<Line> {
    use FaultKind::*;
    let kinds = [
        EngineCrash,
        VmCrash,
        EngineSlow,
        PlatformDown,
        LinkStall,
        VmPause,
        PlatformLostAnswer,
        EngineReclaim,
        VmDrain,
        PlatformSlow,
        EngineMemory,
        ServiceLostAnswer,
        VmPartition,
    ];
    let service = if plan.user == User::Nikuthi { "filing" } else { "courier" };
    let mut lines = Vec::new();
    for i in 0..plan.faults {
        let kind = kinds[i as usize % kinds.len()];
        let at_ms = rng.random_range(0..plan.length_ms);
        let replica = format!("m1-{}", rng.random_range(1..=REPLICAS));
        let vm = format!("vm-{}", rng.random_range(1..=VMS));
        let (target, for_ms, amount) = match kind {
            EngineCrash => (replica, 4_000, 0.0),
            EngineSlow => (replica, 6_000, 4.0),
            EngineReclaim => (replica, 6_000, 0.0),
            EngineMemory => (replica, 5_000, 5_000.0),
            LinkStall => (replica, rng.random_range(500..4_000), 0.0),
            ServiceLostAnswer => (format!("{service}-{}", rng.random_range(1..=4)), 0, 1.0),
            PlatformDown => ("platform".into(), rng.random_range(1_000..6_000), 0.0),
            PlatformSlow => ("platform".into(), 5_000, 2_000.0),
            PlatformLostAnswer => ("platform".into(), 0, 2.0),
            VmPause => (vm, rng.random_range(500..5_000), 0.0),
            VmPartition => (vm, 5_000, 0.0),
            VmCrash | VmDrain => (vm, 5_000, 0.0),
        };
        lines.push(Line::Fault(Fault { at_ms, fault: kind, target, for_ms, amount }));
    }
    lines
}
