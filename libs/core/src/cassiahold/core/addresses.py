"""Network addresses that other processes announce."""

import ipaddress
import re
import typing

_MAX_PORT: typing.Final = 65_535
_MAX_ADDRESS_LENGTH: typing.Final = 64  # characters
_ADDRESS: typing.Final = re.compile(
    r'(?P<ip>[0-9.]+|\[[0-9A-Fa-f:.]+\]):(?P<port>[1-9][0-9]{0,4})'
)


def is_address(text: str) -> bool:
    """Tell whether a text is ``ip:port`` of a host that can be called.

    An IPv6 address is in brackets.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None or len(text) > _MAX_ADDRESS_LENGTH:
        return False
    try:
        ip = ipaddress.ip_address(match['ip'].strip('[]'))
    except ValueError:
        return False
    is_host = not (ip.is_unspecified or ip.is_multicast)
    return is_host and int(match['port']) <= _MAX_PORT
