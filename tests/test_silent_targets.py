"""Check that rumors of silent targets stay few and small."""

from sesameward.serving import silent_targets


def test_reported_targets_share_a_rumor_and_versions_rise():
    published = []
    now = [100.0]
    reporter = silent_targets.Silences(
        'n1', published.append, lambda: now[0], 1
    )
    reporter.report('a')
    reporter.report('b')
    reporter.publish_reported()
    reporter.report('c')
    reporter.publish_reported()
    now[0] += 2 * silent_targets.PUBLISH_INTERVAL_S
    reporter.publish_reported()
    reporter.publish_reported()
    first, second = published
    assert silent_targets.targets_of_rumor(first) == ['a', 'b']
    assert silent_targets.targets_of_rumor(second) == ['c']
    assert second.version > first.version


def test_rumor_stays_small_whatever_falls_silent():
    published = []
    reporter = silent_targets.Silences(
        'n1', published.append, lambda: 100.0, 1
    )
    for n in range(1_000):
        reporter.report(f'i-{n:010}')
    reporter.publish_reported()
    assert len(published[0].body) < 400


def test_restarted_node_overrides_its_predecessor():
    published = []
    for started_ms in (100_000, 101_000):
        reporter = silent_targets.Silences(
            'n1', published.append, lambda: 5.0, started_ms
        )
        reporter.report('a')
        reporter.publish_reported()
    assert published[1].version > published[0].version


# Cut-off nodes reported all targets as silent, so the others avoided them.
def test_dropped_reports_are_not_published():
    published = []
    reporter = silent_targets.Silences(
        'n1', published.append, lambda: 100.0, 1
    )
    reporter.report('a')
    reporter.drop_reported()
    reporter.publish_reported()
    assert published == []
