"""Tell other nodes of silent targets within the gossip's budget."""

from sesameward.serving import silences


def test_notes_share_a_rumor_and_versions_rise():
    published = []
    now = [100.0]
    told = silences.Silences('n1', published.append, lambda: now[0])
    told.note('a')
    told.note('b')
    told.tell()
    told.note('c')
    told.tell()
    now[0] += 2 * silences.TELL_GAP_S
    told.tell()
    told.tell()
    first, second = published
    assert silences.read(first) == ['a', 'b']
    assert silences.read(second) == ['c']
    assert second.version > first.version


def test_rumor_stays_small_whatever_falls_silent():
    published = []
    told = silences.Silences('n1', published.append, lambda: 100.0)
    for n in range(1_000):
        told.note(f'i-{n:010}')
    told.tell()
    assert len(published[0].body) < 400


def test_restarted_node_overrides_its_predecessor():
    published = []
    for start in (100.0, 101.0):
        told = silences.Silences('n1', published.append, lambda: start)
        told.note('a')
        told.tell()
    assert published[1].version > published[0].version
