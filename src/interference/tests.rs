use super::{ImageKey, ImagePairs, Images, Neighbour, Observation, Tail};

struct Fixture {
    serving: ImageKey,
    disruptive: ImageKey,
    harmless: ImageKey,
    pairs: ImagePairs,
}

impl Fixture {
    fn new() -> Self {
        let mut images = Images::default();
        Self {
            serving: images.key("serving"),
            disruptive: images.key("disruptive"),
            harmless: images.key("harmless"),
            pairs: ImagePairs::default(),
        }
    }

    fn observe(&mut self, tail: Tail, images: &[ImageKey]) {
        let neighbours: Vec<Neighbour> = images
            .iter()
            .map(|image| Neighbour {
                image: *image,
                share: 0.15,
            })
            .collect();
        self.pairs.learn(&Observation {
            serving: self.serving,
            tail,
            neighbours: &neighbours,
        });
    }
}

#[test]
fn pair_without_evidence_is_not_harmful() {
    let fixture = Fixture::new();
    assert!(
        !fixture
            .pairs
            .is_harmful(fixture.serving, fixture.disruptive)
    );
}

#[test]
fn tail_over_target_counts_against_neighbour_without_low_tails() {
    let mut fixture = Fixture::new();
    let (disruptive, harmless) = (fixture.disruptive, fixture.harmless);
    for _ in 0..8 {
        fixture.observe(Tail::Low, &[harmless]);
    }
    fixture.observe(Tail::OverTarget, &[harmless, disruptive]);
    assert!(fixture.pairs.is_harmful(fixture.serving, disruptive));
    assert!(!fixture.pairs.is_harmful(fixture.serving, harmless));
}

#[test]
fn occasional_tail_over_target_does_not_make_pair_harmful() {
    let mut fixture = Fixture::new();
    let harmless = fixture.harmless;
    for round in 0..200 {
        let tail = if round % 50 == 49 {
            Tail::OverTarget
        } else {
            Tail::Low
        };
        fixture.observe(tail, &[harmless]);
    }
    assert!(!fixture.pairs.is_harmful(fixture.serving, harmless));
}

#[test]
fn pair_whose_behaviour_changes_is_relearned() {
    let mut fixture = Fixture::new();
    let disruptive = fixture.disruptive;
    for _ in 0..500 {
        fixture.observe(Tail::Low, &[disruptive]);
    }
    for _ in 0..4 {
        fixture.observe(Tail::OverTarget, &[disruptive]);
    }
    assert!(fixture.pairs.is_harmful(fixture.serving, disruptive));
}

#[test]
fn tail_over_target_without_neighbours_adds_no_evidence() {
    let mut fixture = Fixture::new();
    fixture.observe(Tail::OverTarget, &[]);
    assert!(fixture.pairs.all().is_empty());
}
