use super::{ImageKey, Images, Neighbour, Observation, Pairs, Tail};

struct Scene {
    serving: ImageKey,
    loud: ImageKey,
    quiet: ImageKey,
    pairs: Pairs,
}

impl Scene {
    fn new() -> Self {
        let mut images = Images::default();
        Self {
            serving: images.key("serving"),
            loud: images.key("loud"),
            quiet: images.key("quiet"),
            pairs: Pairs::default(),
        }
    }

    fn see(&mut self, tail: Tail, beside: &[ImageKey]) {
        let neighbours: Vec<Neighbour> = beside
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
fn nothing_is_harmful_before_there_is_evidence() {
    let scene = Scene::new();
    assert!(!scene.pairs.is_harmful(scene.serving, scene.loud));
}

#[test]
fn the_blame_goes_to_the_neighbour_that_was_not_acquitted() {
    let mut scene = Scene::new();
    let (loud, quiet) = (scene.loud, scene.quiet);
    for _ in 0..8 {
        scene.see(Tail::Low, &[quiet]);
    }
    scene.see(Tail::Strained, &[quiet, loud]);
    assert!(scene.pairs.is_harmful(scene.serving, loud));
    assert!(!scene.pairs.is_harmful(scene.serving, quiet));
}

#[test]
fn an_occasional_strain_of_its_own_load_is_forgiven() {
    let mut scene = Scene::new();
    let quiet = scene.quiet;
    for round in 0..200 {
        let tail = if round % 50 == 49 {
            Tail::Strained
        } else {
            Tail::Low
        };
        scene.see(tail, &[quiet]);
    }
    assert!(!scene.pairs.is_harmful(scene.serving, quiet));
}

#[test]
fn a_pair_whose_nature_changes_is_learned_anew() {
    let mut scene = Scene::new();
    let loud = scene.loud;
    for _ in 0..500 {
        scene.see(Tail::Low, &[loud]);
    }
    for _ in 0..4 {
        scene.see(Tail::Strained, &[loud]);
    }
    assert!(scene.pairs.is_harmful(scene.serving, loud));
}

#[test]
fn a_strain_without_neighbours_blames_nobody() {
    let mut scene = Scene::new();
    scene.see(Tail::Strained, &[]);
    assert!(scene.pairs.all().is_empty());
}
