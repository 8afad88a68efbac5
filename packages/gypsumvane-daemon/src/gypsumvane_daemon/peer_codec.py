"""Codec between message dataclasses and Cap'n Proto frames."""

from __future__ import annotations

import dataclasses
import typing
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp
from capnp.lib.capnp import KjException

from gypsumvane_core import messages
from gypsumvane_core.messages import Message

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("peer.capnp")))

FRAME_BYTES_MAX = 1 << 20
LENGTH_BYTES = 4
# Bit of the length prefix that marks a packed frame.
PACKED_FLAG = 1 << 31
# Some parts of a frame are traversed twice, so the limit is twice its size.
UNPACKED_WORDS_MAX = 2 * FRAME_BYTES_MAX // 8


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """Length and encoding of a frame, from its length prefix."""

    length: int
    packed: bool


class FrameError(Exception):
    """Raised for a frame that is too large or cannot be decoded."""


@dataclass(slots=True)
class Frame:
    """A message with its request and reply identifiers."""

    body: Message
    request_id: int = 0
    in_reply_to: int = 0
    final: bool = True


@dataclass(frozen=True, slots=True)
class _FieldPlan:
    name: str
    wire_name: str
    is_list: bool
    # The dataclass of a nested message, None for scalars.
    nested: type | None
    # The type of a scalar or of the items of a list.
    scalar: type


def _camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.title() for part in rest)


def _field_plans(cls: type) -> tuple[_FieldPlan, ...]:
    hints = typing.get_type_hints(cls)
    plans = []
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        is_list = typing.get_origin(hint) is list
        inner = typing.get_args(hint)[0] if is_list else hint
        nested = inner if dataclasses.is_dataclass(inner) else None
        plans.append(
            _FieldPlan(
                name=field.name,
                wire_name=_camel_case(field.name),
                is_list=is_list,
                nested=typing.cast("type | None", nested),
                scalar=inner,
            )
        )
    return tuple(plans)


_FIELD_PLANS: dict[type, tuple[_FieldPlan, ...]] = {
    cls: _field_plans(cls)
    for cls in vars(messages).values()
    if isinstance(cls, type) and dataclasses.is_dataclass(cls)
}
_BODY_CLASSES: dict[str, type] = {
    cls.__name__[0].lower() + cls.__name__[1:]: cls for cls in typing.get_args(Message)
}
_BODY_NAMES = {cls: name for name, cls in _BODY_CLASSES.items()}


def _encode_message(builder: Any, message: Any) -> None:
    # These methods take half the time of setattr and getattr.
    assign = builder._set
    for plan in _FIELD_PLANS[type(message)]:
        value = getattr(message, plan.name)
        if plan.is_list:
            if not value:
                continue
            if plan.nested is None:
                assign(plan.wire_name, value)
                continue
            items = builder.init(plan.wire_name, len(value))
            for item_builder, item in zip(items, value, strict=True):
                _encode_message(item_builder, item)
        elif plan.nested is not None:
            _encode_message(builder.init(plan.wire_name), value)
        else:
            if not value:
                # Zero and empty are the defaults of all scalars in the schema.
                continue
            # pycapnp rejects subclasses of scalars, such as enumeration members.
            if type(value) is not plan.scalar:
                value = plan.scalar(value)
            assign(plan.wire_name, value)


def _decode_message(reader: Any, cls: type) -> Any:
    get = reader._get
    values = []
    for plan in _FIELD_PLANS[cls]:
        value = get(plan.wire_name)
        if plan.is_list:
            nested = plan.nested
            value = (
                list(value)
                if nested is None
                else [_decode_message(v, nested) for v in value]
            )
        elif plan.nested is not None:
            value = _decode_message(value, plan.nested)
        values.append(value)
    return cls(*values)


def encode_frame(frame: Frame, *, packed: bool = False) -> bytes:
    """Return the encoded frame with its length prefix.

    Raises FrameError when it is larger than FRAME_BYTES_MAX.
    """
    builder = _SCHEMA.Frame.new_message(
        requestId=frame.request_id, inReplyTo=frame.in_reply_to, final=frame.final
    )
    _encode_message(builder.body.init(_BODY_NAMES[type(frame.body)]), frame.body)
    data = builder.to_bytes()
    if len(data) > FRAME_BYTES_MAX:
        raise FrameError(
            f"frame of {len(data)} bytes exceeds limit of {FRAME_BYTES_MAX}"
        )
    if packed:
        # The limit applies to the unpacked frame, which the receiver must hold.
        builder.clear_write_flag()
        data = builder.to_bytes_packed()
    prefix = len(data) | PACKED_FLAG if packed else len(data)
    return prefix.to_bytes(LENGTH_BYTES, "little") + data


def decode_header(prefix: bytes) -> FrameHeader:
    """Return the decoded length prefix.

    Raises FrameError when the frame is larger than FRAME_BYTES_MAX.
    """
    value = int.from_bytes(prefix, "little")
    length = value & ~PACKED_FLAG
    if length > FRAME_BYTES_MAX:
        raise FrameError(f"frame of {length} bytes exceeds limit of {FRAME_BYTES_MAX}")
    return FrameHeader(length=length, packed=bool(value & PACKED_FLAG))


def decode_frame(data: bytes, *, packed: bool = False) -> Frame:
    """Return the frame decoded from a message without its length prefix.

    Raises FrameError for anything that is not a valid frame.
    """
    try:
        if packed:
            # A few packed bytes can declare gigabytes of unpacked data.
            reader = _SCHEMA.Frame.from_bytes_packed(
                data, traversal_limit_in_words=UNPACKED_WORDS_MAX
            )
            return _read_frame(reader)
        with _SCHEMA.Frame.from_bytes(data) as reader:
            return _read_frame(reader)
    except (KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise FrameError(f"invalid frame: {type(error).__name__}") from error


def _read_frame(reader: Any) -> Frame:
    name = str(reader.body.which())
    return Frame(
        body=_decode_message(getattr(reader.body, name), _BODY_CLASSES[name]),
        request_id=reader.requestId,
        in_reply_to=reader.inReplyTo,
        final=reader.final,
    )
