"""Keep imports between the package's subsystems one-way."""

import ast
import pathlib

import sesameward

PACKAGE = pathlib.Path(sesameward.__file__).parent
# From the lowest to the highest; one layer's units may use each other.
LAYERS = (
    {
        'codec',
        'exceptions',
        'grpc_errors',
        'http_client',
        'logs',
        'messages',
        'metrics',
        'rates',
        'rendezvous',
        'types',
    },
    {'quarantine'},
    {'settings'},
    {'membership', 'configuration'},
    {'routing', 'bookings'},
    {'clients'},
    {'controllers', 'filters'},
    {'interface', 'serving'},
    {'agent', 'cmdline', 'entry', 'platform'},
    {'standin'},
)
RANKS = {unit: rank for rank, units in enumerate(LAYERS) for unit in units}


def imports():
    """Yield each relative import: the file, its unit, the unit it names."""
    for path in sorted(PACKAGE.rglob('*.py')):
        parts = path.relative_to(PACKAGE).with_suffix('').parts
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not node.level:
                continue
            base = parts[: len(parts) - node.level]
            inner = node.module.split('.') if node.module else []
            for name in node.names:
                target = (*base, *inner, name.name)
                yield path, parts[0], target[0]


def test_each_module_belongs_to_a_layer():
    units = {path.stem for path in PACKAGE.glob('*.py')}
    units |= {path.parent.name for path in PACKAGE.glob('*/__init__.py')}
    assert units - {'__init__'} == set(RANKS)


def test_no_import_runs_upwards():
    upwards = [
        f'{path.relative_to(PACKAGE)} imports {target}'
        for path, unit, target in imports()
        if unit != '__init__' and RANKS[target] > RANKS[unit]
    ]
    assert upwards == []


def test_the_platforms_folder_is_used_by_nothing_but_itself():
    users = {unit for _, unit, target in imports() if target == 'platform'}
    assert users <= {'platform', 'standin'}
