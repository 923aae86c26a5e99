"""Check that no module imports from a higher layer of the package."""

import ast
import pathlib

import sesameward

PACKAGE = pathlib.Path(sesameward.__file__).parent
# Layers from the lowest to the highest. A unit is a top-level module or
# subpackage; the units of a layer may import each other.
LAYERS = (
    {
        'background',
        'channels',
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
    {'admission', 'bookings', 'placement', 'routing'},
    {'clients'},
    {'controllers', 'filters'},
    {'config_check', 'interface', 'organisations', 'serving'},
    {'agent', 'cmdline', 'entry', 'platform'},
    {'standin'},
)
RANK_BY_UNIT = {
    unit: rank for rank, units in enumerate(LAYERS) for unit in units
}


def relative_imports():
    """Yield the file, its unit and the imported unit of relative imports."""
    for path in sorted(PACKAGE.rglob('*.py')):
        parts = path.relative_to(PACKAGE).with_suffix('').parts
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not node.level:
                continue
            base_parts = parts[: len(parts) - node.level]
            module_parts = node.module.split('.') if node.module else []
            for name in node.names:
                imported_unit = (*base_parts, *module_parts, name.name)
                yield path, parts[0], imported_unit[0]


def test_each_module_belongs_to_a_layer():
    units = {path.stem for path in PACKAGE.glob('*.py')}
    units |= {path.parent.name for path in PACKAGE.glob('*/__init__.py')}
    assert units - {'__init__'} == set(RANK_BY_UNIT)


def test_no_import_runs_upwards():
    upwards = [
        f'{path.relative_to(PACKAGE)} imports {imported_unit}'
        for path, unit, imported_unit in relative_imports()
        if unit != '__init__'
        and RANK_BY_UNIT[imported_unit] > RANK_BY_UNIT[unit]
    ]
    assert upwards == []


def test_the_platforms_folder_is_used_by_nothing_but_itself():
    importing_units = {
        unit
        for _, unit, imported_unit in relative_imports()
        if imported_unit == 'platform'
    }
    assert importing_units <= {'platform', 'standin'}
