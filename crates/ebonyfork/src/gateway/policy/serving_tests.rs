use googletest::prelude::*;

use super::*;

#[gtest]
fn strong_vms_go_before_weak_ones_if_they_have_the_capacity() {
    let serving_count = |cores: &[f32], load: u16| {
        let vms = cores.iter().map(|cores| VmCapacity {
            cores: *cores,
            load,
        });
        let min_cores = min_serving_cores(vms);
        cores.iter().filter(|cores| **cores >= min_cores).count()
    };
    let cases: [(&[f32], usize); 4] = [
        (&[0.25, 0.25, 0.25], 3),
        (&[0.5, 0.5, 0.12, 0.12, 0.12, 0.12], 2),
        (&[0.5, 0.3, 0.12], 2),
        // One strong VM can't take the load of many weak ones, so all VMs take requests.
        (
            &[
                0.5, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12, 0.12,
            ],
            12,
        ),
    ];
    for (cores, expected_count) in cases {
        expect_that!(serving_count(cores, 0), eq(expected_count), "{cores:?}");
    }
    // A few strong VMs can take the load of many weak ones until they are busy.
    let mut core_counts = vec![0.12; 35];
    core_counts.extend([0.5; 3]);
    expect_that!(serving_count(&core_counts, 250), eq(3));
    expect_that!(serving_count(&core_counts, 750), eq(38));
}
